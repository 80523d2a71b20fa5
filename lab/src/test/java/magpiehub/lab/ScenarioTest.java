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

/** Tests scenario files: the choices made by a seed, and the messages for invalid files. */
class ScenarioTest {
    @TempDir
    Path folder;

    private static final Path FILE = Path.of("scenarios/zone-cut.json");

    private static String errorMessage(String json) {
        return assertThrows(Scenario.InvalidScenarioException.class, () -> Scenario.read(json, 1))
                .getMessage();
    }

    @Test
    void randomChoicesDependOnTheSeedAlone() throws IOException {
        assertEquals(Scenario.read(FILE, 3).faults, Scenario.read(FILE, 3).faults);
        assertNotEquals(Scenario.read(FILE, 3).faults, Scenario.read(FILE, 4).faults);
        List<Scenario.Fault> f = Scenario.read(FILE, 5).faults;
        assertEquals(f.get(0).site(), f.get(1).site(), "any is one site for the whole run");
        for (long seed = 0; seed < 50; seed++) {
            SiteLossScenario p = SiteLossScenario.fromSeed(seed, null);
            assertTrue(p.scenario().lengthMs <= 24_000);
        }
        for (String kind : SiteLossScenario.caseNames()) {
            assertEquals(kind, SiteLossScenario.fromSeed(1, kind).caseName());
        }
    }

    @Test
    void fileWithUnknownContentIsRejectedWithItsLocation() throws IOException {
        String valid = Files.readString(FILE);
        assertTrue(
                errorMessage(valid.replace("\"cut\"", "\"cutt\"")).contains("faults[0].do must be one of kill, stop"));
        assertTrue(errorMessage(valid.replace("\"way\"", "\"ways\"")).contains("faults[0] has an unknown field ways"));
        assertTrue(errorMessage(valid.replace("\"both\"", "\"sideways\"")).contains("way must be both, forth or back"));
        assertTrue(
                errorMessage(valid.replaceFirst("\"any\"", "\"nowhere\"")).contains("names an unknown site: nowhere"));
        assertTrue(errorMessage(valid.replace("\"noticeMs\"", "\"notice\"")).contains("notice"));
        assertTrue(errorMessage(valid.replaceFirst("\"listLateMs\": \\d+,", "")).contains("listLateMs"));
        assertTrue(errorMessage(valid.replaceFirst("\"seconds\": [0-9]+", "\"seconds\": 0"))
                .contains("seconds must be"));
        assertTrue(errorMessage(valid.substring(0, valid.length() / 2)).contains("line"));
    }

    @Test
    void invalidArgumentsExitWithStatusTwoAndAMessage() throws IOException {
        Path invalid = Files.createTempFile(folder, "junit", ".tmp");
        Files.writeString(invalid, "{}");
        StringWriter err = new StringWriter();
        assertEquals(2, Lab.commands().setErr(new PrintWriter(err)).execute("check", invalid.toString()));
        assertTrue(err.toString().startsWith("lab: "), err.toString());
        assertEquals(2, Lab.commands().setErr(new PrintWriter(err)).execute("check", "no-such-file.json"));
        assertEquals(2, Lab.commands().setErr(new PrintWriter(err)).execute("play"));
        assertEquals(0, Lab.commands().execute("check", FILE.toString()));
    }
}
