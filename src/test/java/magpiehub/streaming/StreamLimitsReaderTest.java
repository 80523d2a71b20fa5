package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests the parsing of stream limits: defaults, overrides by class, and error messages. */
class StreamLimitsReaderTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static final List<RequestClass> CLASSES = List.of(requestClass("chat"), requestClass("bulk"));

    private static RequestClass requestClass(String name) {
        return new RequestClass(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, true, 0, 0, 0, 0, 0, 0, 0);
    }

    private static StreamLimits parse(String json) throws Exception {
        return StreamLimitsReader.parse(
                ConfigurationObject.parse(json.getBytes(UTF_8), "streams.json"), CLASSES, 64 << 20);
    }

    private static String errorOf(String json) {
        return assertThrows(ConfigurationException.class, () -> parse(json)).getMessage();
    }

    @Test
    void limitsAreParsedAndErrorsNameTheInvalidKey() throws Exception {
        StreamLimits limits = parse("{\"pause_ms\":20000,\"classes\":{\"bulk\":{\"buffer_kb\":2048}}}");
        assertEquals(20 * SECOND_MICROS, limits.classes().get(0).clientStallMicros());
        assertEquals(512 << 10, limits.classes().get(0).bufferBytes());
        assertEquals(2 << 20, limits.classes().get(1).bufferBytes());
        assertEquals(
                20 * SECOND_MICROS, limits.classes().get(1).clientStallMicros(), "classes inherit the common limits");
        assertEquals(8 << 20, limits.budgetBytes(), "an eighth of the heap");
        assertFalse(limits.stall().isAdaptive());
        assertTrue(parse("{\"silence_ms\":4000,\"stall_least_ms\":800}").stall().isAdaptive());
        StreamLimits example = StreamLimitsReader.read(Path.of("deploy/streams.example.json"), CLASSES, 64 << 20);
        assertTrue(example.stall().isAdaptive());
        assertTrue(errorOf("{\"pause\":1}").contains("pause is not a setting"));
        assertTrue(errorOf("{\"budget_kb\":60000}").contains("budget_kb must be a whole number"));
        assertTrue(errorOf("{\"classes\":{\"x\":{}}}").contains("classes.x is not a class"));
        assertTrue(errorOf("{\"classes\":{\"bulk\":{\"hold_ms\":1}}}").contains("classes.bulk.hold_ms"));
    }
}
