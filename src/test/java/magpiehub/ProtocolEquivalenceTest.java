package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A recorded trace gives each request the same outcome at the same time in both client protocols. */
class ProtocolEquivalenceTest {
    @Test
    void bothProtocolsGiveEqualOutcomesAtEqualTimes() throws Exception {
        Path trace = Path.of("src/test/resources/trace.txt");
        List<String> platform = ExchangeReplayer.replay(trace, "front platform");
        List<String> messages = ExchangeReplayer.replay(trace, "front messages");
        assertEquals(platform, messages);
        assertEquals(7, platform.size(), "requests in the trace");
    }
}
