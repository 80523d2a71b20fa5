package magpiehub;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The list of tests that are known to fail: what CI takes, and what it does not. */
public class KnownRedTest {
    private static final String REPORT = "<testsuite>"
            + "<testcase name=\"good\" classname=\"a.ATest\" time=\"1\"/>"
            + "<testcase classname=\"a.ATest\" name=\"bad\" time=\"1\"><failure message=\"name=&quot;x\">at"
            + "</failure></testcase><testcase name=\"each[two.txt]\" classname=\"a.ATest\"><error>x</error>"
            + "</testcase><testcase name=\"last\" classname=\"a.ATest\"><system-out>&lt;failure</system-out>"
            + "</testcase></testsuite>";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private String said;

    private int run(String what, String list) throws Exception {
        Path root = folder.newFolder().toPath();
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
    public void threeLinesThatNameTestsAreTakenAndPrinted() throws Exception {
        assertEquals(0, run("check", ""));
        assertEquals("", said);
        String list = "a.ATest#bad; it is slow; 34\n\na.ATest#good; cause; 34\nb.BTest#each[x]; cause; 9\n";
        assertEquals(said, 0, run("check", list));
        assertTrue(said, said.contains("known red: a.ATest#bad; it is slow; 34\n"));
        assertEquals(1, run("check", list + "a.ATest#good; cause; 35\n"));
        assertTrue(said, said.contains("4 lines, 3 at most"));
    }

    @Test
    public void aLineThatNamesNoTestOrNoCauseFails() throws Exception {
        for (String bad : new String[] {
            "a.ATest#none; cause; 1",
            "c.ATest#bad; cause; 1",
            "a.ATest; cause; 1",
            "a.ATest#bad; cause",
            "a.ATest#bad; ; 1",
            "a.ATest#bad"
        }) {
            assertEquals(bad, 1, run("check", bad + "\n"));
        }
    }

    @Test
    public void onlyListedFailuresArePassedOver() throws Exception {
        assertEquals(said, 0, run("judge", "a.ATest#bad; cause; 1\na.ATest#each[two.txt]; cause; 1\n"));
        assertTrue(said, said.contains("passed over: a.ATest#bad\n"));
        assertEquals(1, run("judge", "a.ATest#bad; cause; 1\n"));
        assertTrue(said, said.contains("not listed: a.ATest#each[two.txt]\n"));
        assertEquals(1, run("judge", "a.ATest#bad; cause; 1\na.ATest#each[one.txt]; cause; 1\n"));
    }

    @Test
    public void theProjectsOwnListIsInOrder() throws Exception {
        Process p = new ProcessBuilder("bash", ".ci/known-red", "check")
                .redirectErrorStream(true)
                .start();
        said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(said, 0, p.waitFor());
    }
}
