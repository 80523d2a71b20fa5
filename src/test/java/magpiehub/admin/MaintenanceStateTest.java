package magpiehub.admin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import magpiehub.telemetry.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the effects of the commands, and the file that stores the state. */
class MaintenanceStateTest {
    @TempDir
    Path folder;

    private final List<String> logged = new ArrayList<>();
    private final EventLog log = new EventLog() {
        @Override
        public void count(String name) {}

        @Override
        public void log(String what, String... namesAndValues) {
            logged.add(what);
        }
    };
    private final MaintenanceState twoListed = MaintenanceState.INITIAL.withListedIds(List.of("a", "b"));

    private static CommandResult execute(MaintenanceState state, String line) {
        return execute(state, line, true);
    }

    private static CommandResult execute(MaintenanceState state, String line, boolean isReady) {
        return AdminCommandInterpreter.execute(state, line, new CommandContext(isReady, 1000, Map.of()));
    }

    private static CommandResult execute(MaintenanceState state, String line, Map<String, String> siteStatus) {
        return AdminCommandInterpreter.execute(state, line, new CommandContext(true, 0, siteStatus));
    }

    @Test
    void commandsAreIdempotent() {
        MaintenanceState out = execute(twoListed, "maint-on a").state();
        assertEquals(Set.of("a"), out.outOfService());
        CommandResult again = execute(out, "maint-on a");
        assertNull(again.rejection());
        assertSame(out, again.state());
        MaintenanceState back = execute(again.state(), "maint-off a").state();
        assertEquals(Set.of(), back.outOfService());
        assertEquals(Map.of("a", 1000L), back.returnedAtUnixMillis());
        assertSame(back, execute(back, "maint-off a").state());
        assertTrue(
                execute(back, "maint-on a").state().returnedAtUnixMillis().isEmpty(),
                "taking a replica out again removes the time of its earlier return");
    }

    @Test
    void invalidCommandsAreRejectedAndChangeNothing() {
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
            CommandResult result = execute(twoListed, line);
            assertNotNull(result.rejection(), line);
            assertSame(twoListed, result.state(), line);
        }
        assertNotNull(execute(twoListed, "status", false).rejection());
        assertNull(execute(twoListed, "standby", false).rejection());
    }

    @Test
    void commandsForAnIdThatWasEverListedAreAccepted() {
        MaintenanceState later = twoListed.withListedIds(List.of("c"));
        assertNull(execute(later, "maint-on a").rejection());
        assertTrue(execute(execute(twoListed, "standby").state(), "standby")
                .state()
                .standby());
        assertEquals(
                false,
                execute(execute(twoListed, "standby").state(), "active").state().standby());
    }

    @Test
    void theEarliestIdsAreRemovedFirstExceptThoseOutOfService() {
        MaintenanceState out = execute(twoListed, "maint-on a").state();
        List<String> many = new ArrayList<>();
        for (int i = 0; i < MaintenanceState.MAX_LISTED_IDS; i++) {
            many.add("e" + i);
        }
        MaintenanceState full = out.withListedIds(many);
        assertEquals(MaintenanceState.MAX_LISTED_IDS, full.listedIds().size());
        assertTrue(full.listedIds().contains("a"));
        assertTrue(!full.listedIds().contains("b"));
    }

    @Test
    void twoProcessesShareTheFile() throws Exception {
        MaintenanceStateFile oldProcess = new MaintenanceStateFile(folder, "n/1", log);
        MaintenanceStateFile newProcess = new MaintenanceStateFile(folder, "n/1", log);
        assertNull(oldProcess.read());
        MaintenanceState stored =
                oldProcess.change(twoListed, state -> execute(state.withServingProcess(7, List.of()), "maint-on a")
                        .state());
        assertEquals(stored, newProcess.read());
        MaintenanceState changed = newProcess.change(
                MaintenanceState.INITIAL, state -> execute(state.withServingProcess(8, List.of(9L)), "standby")
                        .state());
        assertEquals(Set.of("a"), changed.outOfService());
        assertEquals(changed, oldProcess.read());
        assertEquals(List.of(7L, 8L), List.copyOf(changed.servingProcesses()));
        assertTrue(logged.isEmpty());
    }

    @Test
    void anInvalidFileIsLoggedOnceAndTreatedAsAbsent() throws Exception {
        Path root = folder;
        MaintenanceStateFile file = new MaintenanceStateFile(root, "n", log);
        file.change(twoListed, state -> execute(state, "maint-on a").state());
        Path path = root.resolve("magpiehub-n.operators");
        byte[] valid = Files.readAllBytes(path);
        for (byte[] invalid : List.of(
                new byte[0],
                Arrays.copyOf(valid, valid.length / 2),
                "{\"form\":\"other\"}".getBytes(UTF_8),
                "[]".getBytes(UTF_8),
                new byte[] {0, 1, 2})) {
            Files.write(root.resolve("next"), invalid);
            Files.move(root.resolve("next"), path, StandardCopyOption.REPLACE_EXISTING);
            logged.clear();
            assertNull(file.read());
            assertNull(file.read());
            assertEquals(List.of("operators-file-unreadable"), logged, "logged once");
        }
        assertEquals(
                Set.of("b"),
                file.change(twoListed, state -> execute(state, "maint-on b").state())
                        .outOfService(),
                "the next change replaces the file");
        assertEquals(
                Set.of("b"), new MaintenanceStateFile(root, "n", log).read().outOfService());
    }

    @Test
    void sitesAreWithdrawnAndReinstatedButNeverAllWithdrawn() throws Exception {
        Map<String, String> sites = new TreeMap<>(Map.of("a", "whole", "b", "lost share=0% cause=list"));
        assertTrue(execute(twoListed, "site-out a", true).rejection().startsWith("unknown call; status, m"));
        MaintenanceState out = execute(twoListed, "site-out a", sites).state();
        assertEquals(Set.of("a"), out.withdrawnSites());
        assertSame(out, execute(out, "site-out a", sites).state());
        assertEquals(
                "it is the last site that is not out",
                execute(out, "site-out b", sites).rejection());
        assertEquals(
                "no site of that name; there are a, b",
                execute(out, "site-out c", sites).rejection());
        assertEquals("site-in takes one name", execute(out, "site-in", sites).rejection());
        assertEquals(
                "a whole; b lost share=0% cause=list",
                execute(out, "site-status", sites).response());
        assertEquals(
                "b lost share=0% cause=list",
                execute(out, "site-status b", sites).response());
        assertEquals(out, MaintenanceStateCodec.parse(MaintenanceStateCodec.format(out)), "preserved across a restart");
        assertEquals(Set.of(), execute(out, "site-in a", sites).state().withdrawnSites());
        assertTrue(execute(out, "nothing", sites).rejection().contains("site-out NAME"));
    }
}
