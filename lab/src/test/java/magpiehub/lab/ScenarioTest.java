package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Scenario files: what a seed makes of one, and what is turned down with which words. */
class ScenarioTest {
    @TempDir
    Path folder;

    private static final Path FILE = Path.of("scenarios/zone-cut.json");

    private static String wrong(String json) {
        return assertThrows(Scenario.InvalidScenarioException.class, () -> Scenario.read(json, 1))
                .getMessage();
    }

    @Test
    void whatTheFileLeavesOpenIsDrawnFromTheSeedAlone() throws IOException {
        assertEquals(Scenario.read(FILE, 3).faults, Scenario.read(FILE, 3).faults);
        assertNotEquals(Scenario.read(FILE, 3).faults, Scenario.read(FILE, 4).faults);
        List<Scenario.Fault> f = Scenario.read(FILE, 5).faults;
        assertEquals(f.get(0).site(), f.get(1).site(), "any is one site for the whole play");
        for (long seed = 0; seed < 50; seed++) {
            SiteLossScenario p = SiteLossScenario.drawn(seed, null);
            assertTrue(p.scenario().lengthMs <= 24_000);
        }
        for (String kind : SiteLossScenario.kinds()) {
            assertEquals(kind, SiteLossScenario.drawn(1, kind).kind());
        }
    }

    @Test
    void aFileThatSaysSomethingUnknownIsTurnedDownWithThePlace() throws IOException {
        String good = Files.readString(FILE);
        assertTrue(wrong(good.replace("\"cut\"", "\"cutt\"")).contains("faults[0].do must be one of kill, stop"));
        assertTrue(wrong(good.replace("\"way\"", "\"ways\"")).contains("faults[0] has an unknown field ways"));
        assertTrue(wrong(good.replace("\"both\"", "\"sideways\"")).contains("way must be both, forth or back"));
        assertTrue(wrong(good.replaceFirst("\"any\"", "\"nowhere\"")).contains("names an unknown site: nowhere"));
        assertTrue(wrong(good.replace("\"noticeMs\"", "\"notice\"")).contains("notice"));
        assertTrue(wrong(good.replaceFirst("\"listLateMs\": \\d+,", "")).contains("listLateMs"));
        assertTrue(wrong(good.replaceFirst("\"seconds\": [0-9]+", "\"seconds\": 0"))
                .contains("seconds must be"));
        assertTrue(wrong(good.substring(0, good.length() / 2)).contains("line"));
    }

    @Test
    void aWrongCallEndsWithTwoAndSaysWhy() throws IOException {
        Path bad = Files.createTempFile(folder, "junit", ".tmp");
        Files.writeString(bad, "{}");
        StringWriter err = new StringWriter();
        assertEquals(2, Lab.commands().setErr(new PrintWriter(err)).execute("check", bad.toString()));
        assertTrue(err.toString().startsWith("lab: "), err.toString());
        assertEquals(2, Lab.commands().setErr(new PrintWriter(err)).execute("check", "no-such-file.json"));
        assertEquals(2, Lab.commands().setErr(new PrintWriter(err)).execute("play"));
        assertEquals(0, Lab.commands().execute("check", FILE.toString()));
    }
}
