package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The script that checks the list of known test failures, and ignores those failures in CI. */
class KnownRedTest {
    private static final String REPORT = "<testsuite>"
            + "<testcase name=\"good\" classname=\"a.ATest\" time=\"1\"/>"
            + "<testcase classname=\"a.ATest\" name=\"bad\" time=\"1\"><failure message=\"name=&quot;x\">at"
            + "</failure></testcase><testcase name=\"each[two.txt]\" classname=\"a.ATest\"><error>x</error>"
            + "</testcase><testcase name=\"every(Path, int) three.txt\" classname=\"a.ATest\"><error>x</error>"
            + "</testcase><testcase name=\"last\" classname=\"a.ATest\"><system-out>&lt;failure</system-out>"
            + "</testcase></testsuite>";

    @TempDir
    Path folder;

    private String output;

    private int runScript(String mode, String list) throws Exception {
        Path root = Files.createTempDirectory(folder, "junit");
        Files.writeString(root.resolve("KNOWN-RED.txt"), list);
        write(root.resolve("src/test/java/a/ATest.java"), "void good() {}\nvoid bad() {}\n");
        write(root.resolve("lab/src/test/java/b/BTest.java"), "void each() {}\n");
        write(root.resolve("lab/target/surefire-reports/TEST-a.ATest.xml"), REPORT);
        Process process = new ProcessBuilder("bash", ".ci/known-red", mode, root.toString())
                .redirectErrorStream(true)
                .start();
        output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor();
    }

    private static void write(Path file, String text) throws IOException {
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    @Test
    void entriesThatNameTestsAreAcceptedAndPrinted() throws Exception {
        assertEquals(0, runScript("check", ""));
        assertEquals("", output);
        String list = "a.ATest#bad; make test, seed 1; it is slow; 34\n\na.ATest#good; make test, no seed; seen; 34\n"
                + "b.BTest#each[x]; make test, no seed; seen; 9\na.ATest#bad; make test, seed 2; seen; 35\n";
        assertEquals(0, runScript("check", list), output);
        for (String entry : list.split("\n+")) {
            assertTrue(output.contains("known red: " + entry + "\n"), output);
        }
    }

    @Test
    void entryThatNamesNoTestOrLacksAFieldIsRejected() throws Exception {
        for (String invalid : new String[] {
            "a.ATest#none; make test, no seed; seen; 1",
            "c.ATest#bad; make test, no seed; seen; 1",
            "a.ATest; make test, no seed; seen; 1",
            "a.ATest#bad; make test, no seed; seen",
            "a.ATest#bad; cause; 1",
            "a.ATest#bad; ; seen; 1",
            "a.ATest#bad; make test, no seed; ; 1",
            "a.ATest#bad; make test, no seed; seen; ",
            "a.ATest#bad; make test, no seed; seen; soon",
            "a.ATest#bad"
        }) {
            assertEquals(1, runScript("check", invalid + "\n"), invalid);
        }
    }

    @Test
    void onlyListedFailuresAreIgnored() throws Exception {
        String every = "a.ATest#every[three.txt]; make test, no seed; seen; 1\n";
        assertEquals(
                0,
                runScript(
                        "judge",
                        "a.ATest#bad; make test, no seed; seen; 1\na.ATest#each[two.txt]; make test, no seed; seen; 1\n"
                                + every),
                output);
        assertTrue(output.contains("passed over: a.ATest#bad\n"), output);
        assertTrue(output.contains("passed over: a.ATest#every[three.txt]\n"), output);
        assertEquals(1, runScript("judge", "a.ATest#bad; make test, no seed; seen; 1\n"));
        assertTrue(output.contains("not listed: a.ATest#each[two.txt]\n"), output);
        assertTrue(output.contains("not listed: a.ATest#every[three.txt]\n"), output);
        assertEquals(
                1,
                runScript(
                        "judge",
                        "a.ATest#bad; make test, no seed; seen; 1\na.ATest#each[one.txt]; make test, no seed; seen; 1\n"
                                + every));
        assertEquals(
                1,
                runScript(
                        "judge",
                        "a.ATest#bad; make test, no seed; seen; 1\na.ATest#each[two.txt]; make test, no seed; seen; 1\n"
                                + "a.ATest#every; make test, no seed; seen; 1\n"));
    }

    @Test
    void theProjectsOwnListIsValid() throws Exception {
        Process process = new ProcessBuilder("bash", ".ci/known-red", "check")
                .redirectErrorStream(true)
                .start();
        output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
    }
}
