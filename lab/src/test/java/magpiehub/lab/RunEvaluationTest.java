package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that each bound holds for a run without faults and fails for a run that violates it. */
class RunEvaluationTest {
    private static final long SECOND = 1_000_000;
    private static final RunEvaluation.SiteLoss LOSS = new RunEvaluation.SiteLoss(1, 10 * SECOND, 14 * SECOND, true);

    @TempDir
    Path folder;

    private final List<LoadGenerator.RequestRecord> results = new ArrayList<>();
    private final List<Fleet.Attempt> attempts = new ArrayList<>();
    private final List<ProcessManager.ResourceSample> samples = new ArrayList<>();
    private List<String> crashedEngines = List.of();
    private List<String> attemptsToDrained = List.of();
    private List<String> failures = List.of();
    private int crashes;
    private final List<Fleet.SiteStateChange> siteStateChanges = new ArrayList<>();

    /** One request per 0.1 s at each of three sites, all served. */
    public RunEvaluationTest() {
        for (int i = 0; i < 200; i++) {
            for (int site = 0; site < 3; site++) {
                results.add(result(site, i * SECOND / 10, LoadGenerator.RequestOutcome.SERVED, false));
            }
        }
        samples.add(new ProcessManager.ResourceSample(SECOND, "north-1", 90_000, 10, 30, 40));
    }

    private static LoadGenerator.RequestRecord result(
            int site, long due, LoadGenerator.RequestOutcome outcome, boolean excused) {
        return new LoadGenerator.RequestRecord(
                "c" + due + site, site, site, 0, due, due, 50_000, due + SECOND, outcome, 0, 2, excused, "t");
    }

    private Fleet.RunResult outcome() throws IOException {
        return new Fleet.RunResult(
                Scenario.read(Path.of("scenarios/zone-cut.json"), 1),
                0,
                results,
                attempts,
                List.of(),
                List.of(new Fleet.InjectedFault(10 * SECOND, "kill south")),
                samples,
                crashedEngines,
                attemptsToDrained,
                0,
                0,
                crashes,
                0,
                failures,
                siteStateChanges,
                java.util.Map.of());
    }

    private void assertOnlyFails(String... names) throws IOException {
        List<String> no = new RunEvaluation(outcome())
                .evaluate(List.of(LOSS)).stream()
                        .filter(b -> !b.holds())
                        .map(RunEvaluation.Bound::name)
                        .toList();
        assertEquals(names.length, no.size());
        for (int i = 0; i < names.length; i++) {
            assertTrue(no.get(i).contains(names[i]), no.get(i));
        }
    }

    /** Replaces the outcome of the requests due within a period at one site. */
    private void setOutcome(int site, long from, long until, LoadGenerator.RequestOutcome outcome, boolean excused) {
        results.replaceAll(r -> r.site() == site && r.dueMicros() >= from && r.dueMicros() < until
                ? result(site, r.dueMicros(), outcome, excused)
                : r);
    }

    @Test
    void runWithoutFaultsHolds() throws IOException {
        assertOnlyFails();
    }

    @Test
    void unansweredRequestFailsUnlessExcusedByAFault() throws IOException {
        setOutcome(1, 10 * SECOND, 10 * SECOND + 100_000, LoadGenerator.RequestOutcome.NONE, true);
        assertOnlyFails();
        setOutcome(1, 2 * SECOND, 2 * SECOND + 100_000, LoadGenerator.RequestOutcome.NONE, false);
        assertOnlyFails("none or two final answers");
    }

    @Test
    void invalidResponseFails() throws IOException {
        setOutcome(1, 2 * SECOND, 2 * SECOND + 100_000, LoadGenerator.RequestOutcome.SPOILT, false);
        assertOnlyFails("none or two final answers");
    }

    @Test
    void concurrentAttemptsFailBeyondTheToleranceOnly() throws IOException {
        attempts.add(new Fleet.Attempt("x", 0, "e1", SECOND, 2 * SECOND));
        attempts.add(new Fleet.Attempt("x", 0, "e2", 2 * SECOND - 50_000, 3 * SECOND));
        assertOnlyFails();
        attempts.add(new Fleet.Attempt("x", 0, "e3", 3 * SECOND - 50_001, 4 * SECOND));
        assertOnlyFails("two attempts out at once");
    }

    @Test
    void countedViolationsFail() throws IOException {
        crashedEngines = List.of("e1");
        attemptsToDrained = List.of("e1 got x");
        failures = List.of("kill");
        crashes = 1;
        samples.add(new ProcessManager.ResourceSample(SECOND, "north-1", 200_000, 10, 30, 40));
        samples.add(new ProcessManager.ResourceSample(SECOND, "engines-north", 400_000, 10, 30, 40));
        assertOnlyFails(
                "new work to an engine", "fell over", "ended by themselves", "could not be carried out", "memory");
    }

    @Test
    void lossWithTooLittleServedFails() throws IOException {
        setOutcome(0, 10 * SECOND, 11 * SECOND, LoadGenerator.RequestOutcome.REFUSED, false);
        assertOnlyFails("served while south is lost"); // 0.875 are served, and at least 0.9 again after 1 s.
        setOutcome(2, 10 * SECOND, 13 * SECOND, LoadGenerator.RequestOutcome.LATE, false);
        assertOnlyFails("served while south is lost", "until nine tenths");
    }

    @Test
    void returnWithTooMuchLatencyFails() throws IOException {
        results.replaceAll(r -> r.dueMicros() < 14 * SECOND
                ? r
                : new LoadGenerator.RequestRecord(
                        r.requestId(),
                        r.site(),
                        r.router(),
                        0,
                        r.dueMicros(),
                        r.dueMicros(),
                        76_000,
                        r.endMicros(),
                        r.outcome(),
                        0,
                        2,
                        false,
                        "t"));
        assertOnlyFails("p99 of first tokens");
    }

    @Test
    void falseLossFailsAndTrueLossDoesNot() throws IOException {
        siteStateChanges.add(new Fleet.SiteStateChange(11 * SECOND, 0, "south", "doubted", "lost", "silence"));
        assertOnlyFails();
        siteStateChanges.add(new Fleet.SiteStateChange(11 * SECOND, 0, "west", "doubted", "lost", "silence"));
        assertOnlyFails("called lost without a loss");
    }

    @Test
    void tooManyStateChangesFail() throws IOException {
        for (int i = 0; i < 9; i++) {
            siteStateChanges.add(new Fleet.SiteStateChange(11 * SECOND, 0, "south", "whole", "doubted", "silence"));
            assertOnlyFails(i < 8 ? new String[0] : new String[] {"changes of a router's word"});
        }
    }

    @Test
    void reportIsSelfContainedAndComparable() throws IOException {
        Fleet.RunResult o = outcome();
        Report.write(o, new RunEvaluation(o).evaluate(List.of(LOSS)), folder, "a.jar");
        String page = Files.readString(folder.resolve("report.html"));
        assertTrue(page.contains("<svg") && page.contains("kill south") && !page.contains("<script"));
        setOutcome(0, 10 * SECOND, 13 * SECOND, LoadGenerator.RequestOutcome.REFUSED, false);
        Path b = Files.createTempDirectory(folder, "junit");
        Fleet.RunResult other = outcome();
        Report.write(other, new RunEvaluation(other).evaluate(List.of(LOSS)), b, "b.jar");
        List<String> lines = Report.compare(Report.read(folder), Report.read(b));
        assertTrue(lines.stream().anyMatch(l -> l.matches("served while south.* 1.000 +0.625 !")), lines.toString());
        Path page2 = folder.resolve("both.html");
        assertEquals(0, Lab.commands().execute("compare", folder.toString(), b.toString(), "--html", page2.toString()));
        assertTrue(Files.readString(page2).contains("b.jar"));
    }
}
