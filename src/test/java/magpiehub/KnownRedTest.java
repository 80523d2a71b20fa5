package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The list of tests that are known to fail: what CI takes, and what it does not. */
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

    private String said;

    private int run(String what, String list) throws Exception {
        Path root = Files.createTempDirectory(folder, "junit");
        Files.writeString(root.resolve("KNOWN-RED.txt"), list);
        write(root.resolve("src/test/java/a/ATest.java"), "void good() {}\nvoid bad() {}\n");
        write(root.resolve("lab/src/test/java/b/BTest.java"), "void each() {}\n");
        write(root.resolve("lab/target/surefire-reports/TEST-a.ATest.xml"), REPORT);
        Process p = new ProcessBuilder("bash", ".ci/known-red", what, root.toString())
                .redirectErrorStream(true)
                .start();
        said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return p.waitFor();
    }

    private static void write(Path file, String text) throws IOException {
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    @Test
    void threeLinesThatNameTestsAreTakenAndPrinted() throws Exception {
        assertEquals(0, run("check", ""));
        assertEquals("", said);
        String list = "a.ATest#bad; it is slow; 34\n\na.ATest#good; cause; 34\nb.BTest#each[x]; cause; 9\n";
        assertEquals(0, run("check", list), said);
        assertTrue(said.contains("known red: a.ATest#bad; it is slow; 34\n"), said);
        assertEquals(1, run("check", list + "a.ATest#good; cause; 35\n"));
        assertTrue(said.contains("4 lines, 3 at most"), said);
    }

    @Test
    void aLineThatNamesNoTestOrNoCauseFails() throws Exception {
        for (String bad : new String[] {
            "a.ATest#none; cause; 1",
            "c.ATest#bad; cause; 1",
            "a.ATest; cause; 1",
            "a.ATest#bad; cause",
            "a.ATest#bad; ; 1",
            "a.ATest#bad"
        }) {
            assertEquals(1, run("check", bad + "\n"), bad);
        }
    }

    @Test
    void onlyListedFailuresArePassedOver() throws Exception {
        String every = "a.ATest#every[three.txt]; cause; 1\n";
        assertEquals(0, run("judge", "a.ATest#bad; cause; 1\na.ATest#each[two.txt]; cause; 1\n" + every), said);
        assertTrue(said.contains("passed over: a.ATest#bad\n"), said);
        assertTrue(said.contains("passed over: a.ATest#every[three.txt]\n"), said);
        assertEquals(1, run("judge", "a.ATest#bad; cause; 1\n"));
        assertTrue(said.contains("not listed: a.ATest#each[two.txt]\n"), said);
        assertTrue(said.contains("not listed: a.ATest#every[three.txt]\n"), said);
        assertEquals(1, run("judge", "a.ATest#bad; cause; 1\na.ATest#each[one.txt]; cause; 1\n" + every));
        assertEquals(1, run("judge", "a.ATest#bad; cause; 1\na.ATest#each[two.txt]; cause; 1\na.ATest#every; x; 1\n"));
    }

    @Test
    void theProjectsOwnListIsInOrder() throws Exception {
        Process p = new ProcessBuilder("bash", ".ci/known-red", "check")
                .redirectErrorStream(true)
                .start();
        said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, p.waitFor(), said);
    }
}
