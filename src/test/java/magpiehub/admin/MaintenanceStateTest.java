package magpiehub.admin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.admin.MaintenanceState.Held;
import magpiehub.admin.MaintenanceState.Verdict;
import magpiehub.telemetry.EventLog;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** What calls mean, and the file that keeps it. */
public class MaintenanceStateTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private final List<String> logged = new ArrayList<>();
    private final EventLog journal = new EventLog() {
        @Override
        public void count(String name) {}

        @Override
        public void log(String what, String... namesAndValues) {
            logged.add(what);
        }
    };
    private final Held two = Held.NOTHING.listed(List.of("a", "b"));

    private static Verdict call(Held h, String line) {
        return MaintenanceState.call(h, line, true, 1000);
    }

    @Test
    public void repeatedCallsChangeNothingAndOneCallBackEndsTheBan() {
        Held out = call(two, "maint-on a").after();
        assertEquals(Set.of("a"), out.banned());
        Verdict again = call(out, "maint-on a");
        assertNull(again.refused());
        assertSame(out, again.after());
        Held back = call(again.after(), "maint-off a").after();
        assertEquals(Set.of(), back.banned());
        assertEquals(Map.of("a", 1000L), back.back());
        assertSame(back, call(back, "maint-off a").after());
        assertTrue(
                "a ban ends what was known of the call back before it",
                call(back, "maint-on a").after().back().isEmpty());
    }

    @Test
    public void whatMakesNoSenseIsRefusedAndChangesNothing() {
        for (String line : List.of(
                "",
                "maint-on",
                "maint-off",
                "maint-on a b",
                "maint-on c",
                "maint-off c",
                "standby now",
                "status a",
                "reboot",
                "MAINT-ON a")) {
            Verdict v = call(two, line);
            assertNotNull(line, v.refused());
            assertSame(line, two, v.after());
        }
        assertNotNull(MaintenanceState.call(two, "status", false, 0).refused());
        assertNull(MaintenanceState.call(two, "standby", false, 0).refused());
    }

    @Test
    public void anIdThatWasListedOnceMayBeCalledForGood() {
        Held later = two.listed(List.of("c"));
        assertNull(call(later, "maint-on a").refused());
        assertTrue(call(call(two, "standby").after(), "standby").after().standby());
        assertEquals(false, call(call(two, "standby").after(), "active").after().standby());
    }

    @Test
    public void idsAreForgottenFromTheFirstAndNeverOnesTakenOut() {
        Held out = call(two, "maint-on a").after();
        List<String> many = new ArrayList<>();
        for (int i = 0; i < MaintenanceState.MOST_LISTED; i++) {
            many.add("e" + i);
        }
        Held full = out.listed(many);
        assertEquals(MaintenanceState.MOST_LISTED, full.listed().size());
        assertTrue(full.listed().contains("a"));
        assertTrue(!full.listed().contains("b"));
    }

    @Test
    public void twoProcessesShareOneFile() throws Exception {
        MaintenanceStateFile old = new MaintenanceStateFile(folder.getRoot().toPath(), "n/1", journal);
        MaintenanceStateFile fresh = new MaintenanceStateFile(folder.getRoot().toPath(), "n/1", journal);
        assertNull(old.read());
        Held h =
                old.change(two, x -> call(x.serving(7, List.of()), "maint-on a").after());
        assertEquals(h, fresh.read());
        Held then = fresh.change(
                Held.NOTHING, x -> call(x.serving(8, List.of(9L)), "standby").after());
        assertEquals(Set.of("a"), then.banned());
        assertEquals(then, old.read());
        assertEquals(List.of(7L, 8L), List.copyOf(then.routers()));
        assertTrue(logged.isEmpty());
    }

    @Test
    public void aTornOrForeignFileIsLoggedAndReadAsNone() throws Exception {
        Path root = folder.getRoot().toPath();
        MaintenanceStateFile f = new MaintenanceStateFile(root, "n", journal);
        f.change(two, x -> call(x, "maint-on a").after());
        Path file = root.resolve("magpiehub-n.operators");
        byte[] whole = Files.readAllBytes(file);
        for (byte[] bad : List.of(
                new byte[0],
                java.util.Arrays.copyOf(whole, whole.length / 2),
                "{\"form\":\"other\"}".getBytes(UTF_8),
                "[]".getBytes(UTF_8),
                new byte[] {0, 1, 2})) {
            Files.write(root.resolve("next"), bad);
            Files.move(root.resolve("next"), file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            logged.clear();
            assertNull(f.read());
            assertNull(f.read());
            assertEquals("named once", List.of("operators-file-unreadable"), logged);
        }
        assertEquals(
                "the next change writes it anew",
                Set.of("b"),
                f.change(two, x -> call(x, "maint-on b").after()).banned());
        assertEquals(
                Set.of("b"), new MaintenanceStateFile(root, "n", journal).read().banned());
    }

    @Test
    public void sitesAreGivenUpAndTakenBackWhereTheyArePlannedForAndNeverAllOfThem() throws Exception {
        Map<String, String> sites = new java.util.TreeMap<>(Map.of("a", "whole", "b", "lost share=0% cause=list"));
        assertTrue(MaintenanceState.call(two, "site-out a", true, 0).refused().startsWith("unknown call; status, m"));
        Held out = MaintenanceState.call(two, "site-out a", true, 0, sites).after();
        assertEquals(Set.of("a"), out.sites());
        assertSame(out, MaintenanceState.call(out, "site-out a", true, 0, sites).after());
        assertEquals(
                "it is the last site that is not out",
                MaintenanceState.call(out, "site-out b", true, 0, sites).refused());
        assertEquals(
                "no site of that name; there are a, b",
                MaintenanceState.call(out, "site-out c", true, 0, sites).refused());
        assertEquals(
                "site-in takes one name",
                MaintenanceState.call(out, "site-in", true, 0, sites).refused());
        assertEquals(
                "a whole; b lost share=0% cause=list",
                MaintenanceState.call(out, "site-status", true, 0, sites).said());
        assertEquals(
                "b lost share=0% cause=list",
                MaintenanceState.call(out, "site-status b", true, 0, sites).said());
        assertEquals("kept over a restart", out, MaintenanceStateFile.parse(MaintenanceStateFile.format(out)));
        assertEquals(
                Set.of(),
                MaintenanceState.call(out, "site-in a", true, 0, sites).after().sites());
        assertTrue(
                MaintenanceState.call(out, "nothing", true, 0, sites).refused().contains("site-out NAME"));
    }
}
