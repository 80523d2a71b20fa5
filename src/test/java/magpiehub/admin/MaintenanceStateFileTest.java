package magpiehub.admin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.telemetry.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the file format against a file recorded on 2 December 2026, before the classes were refactored: an upgraded
 * router finds such a file.
 */
class MaintenanceStateFileTest {
    private static final MaintenanceState RECORDED = new MaintenanceState(
            7,
            true,
            Set.of("engine-1"),
            Map.of("engine-2", 1796224634921L),
            Set.of("engine-1", "engine-2", "engine \"three\" \u00fc"),
            Set.of(30430L),
            Set.of("south"));

    @TempDir
    Path folder;

    private final EventLog failingLog = new EventLog() {
        @Override
        public void count(String name) {
            throw new AssertionError(name);
        }

        @Override
        public void log(String what, String... namesAndValues) {
            throw new AssertionError(what + " " + String.join(" ", namesAndValues));
        }
    };

    private static byte[] recordedFile() throws IOException {
        try (InputStream in = MaintenanceStateFileTest.class.getResourceAsStream("/maintenance-state.json")) {
            return in.readAllBytes();
        }
    }

    @Test
    void parsesTheRecordedFile() throws IOException {
        assertEquals(RECORDED, MaintenanceStateCodec.parse(recordedFile()));
    }

    @Test
    void formatsTheParsedFileByteForByte() throws IOException {
        assertArrayEquals(recordedFile(), MaintenanceStateCodec.format(MaintenanceStateCodec.parse(recordedFile())));
    }

    @Test
    void findsTheFileByTheNameOfTheRouterAndChangesIt() throws IOException {
        Path path = folder.resolve("magpiehub-router_1.operators");
        Files.write(path, recordedFile());
        MaintenanceStateFile file = new MaintenanceStateFile(folder, "router/1", failingLog);
        assertEquals(RECORDED, file.read());
        file.change(MaintenanceState.INITIAL, stored -> stored.withServingProcess(8, List.of(30430L)));
        String expected = new String(recordedFile(), StandardCharsets.UTF_8)
                .replace("\"version\":7", "\"version\":8")
                .replace("\"routers\":[30430]", "\"routers\":[8]");
        assertEquals(expected, Files.readString(path));
    }
}
