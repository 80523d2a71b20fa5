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

/** Each bound seen to hold on a play without a fault, and to fail on one that breaks it. */
class RunEvaluationTest {
    private static final long S = 1_000_000;
    private static final RunEvaluation.SiteLoss LOSS = new RunEvaluation.SiteLoss(1, 10 * S, 14 * S, true);

    @TempDir
    Path folder;

    private final List<LoadGenerator.RequestRecord> results = new ArrayList<>();
    private final List<Fleet.Attempt> attempts = new ArrayList<>();
    private final List<ProcessManager.ResourceSample> samples = new ArrayList<>();
    private List<String> fell = List.of();
    private List<String> drained = List.of();
    private List<String> failures = List.of();
    private int crashes;
    private final List<Fleet.SiteStateChange> stands = new ArrayList<>();

    /** A request a tenth of a second at each of three sites, served at once. */
    public RunEvaluationTest() {
        for (int i = 0; i < 200; i++) {
            for (int site = 0; site < 3; site++) {
                results.add(result(site, i * S / 10, LoadGenerator.RequestOutcome.SERVED, false));
            }
        }
        samples.add(new ProcessManager.ResourceSample(S, "north-1", 90_000, 10, 30, 40));
    }

    private static LoadGenerator.RequestRecord result(
            int site, long due, LoadGenerator.RequestOutcome how, boolean excused) {
        return new LoadGenerator.RequestRecord(
                "c" + due + site, site, site, 0, due, due, 50_000, due + S, how, 0, 2, excused, "t");
    }

    private Fleet.RunResult outcome() throws IOException {
        return new Fleet.RunResult(
                Scenario.read(Path.of("scenarios/zone-cut.json"), 1),
                0,
                results,
                attempts,
                List.of(),
                List.of(new Fleet.InjectedFault(10 * S, "kill south")),
                samples,
                fell,
                drained,
                0,
                0,
                crashes,
                0,
                failures,
                stands,
                java.util.Map.of());
    }

    private void fails(String... names) throws IOException {
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

    /** How requests due within a time ended, at one site. */
    private void ended(int site, long from, long until, LoadGenerator.RequestOutcome how, boolean excused) {
        results.replaceAll(r -> r.site() == site && r.dueMicros() >= from && r.dueMicros() < until
                ? result(site, r.dueMicros(), how, excused)
                : r);
    }

    @Test
    void aPlayWithoutAFaultHolds() throws IOException {
        fails();
    }

    @Test
    void whoGetsNoAnswerOfARunningRouterIsSeenAndWhoMetTheFaultIsNot() throws IOException {
        ended(1, 10 * S, 10 * S + 100_000, LoadGenerator.RequestOutcome.NONE, true);
        fails();
        ended(1, 2 * S, 2 * S + 100_000, LoadGenerator.RequestOutcome.NONE, false);
        fails("none or two final answers");
    }

    @Test
    void aSpoiltAnswerIsSeen() throws IOException {
        ended(1, 2 * S, 2 * S + 100_000, LoadGenerator.RequestOutcome.SPOILT, false);
        fails("none or two final answers");
    }

    @Test
    void twoAttemptsAtOnceAreSeenBeyondTheSlackOnly() throws IOException {
        attempts.add(new Fleet.Attempt("x", 0, "e1", S, 2 * S));
        attempts.add(new Fleet.Attempt("x", 0, "e2", 2 * S - 50_000, 3 * S));
        fails();
        attempts.add(new Fleet.Attempt("x", 0, "e3", 3 * S - 50_001, 4 * S));
        fails("two attempts out at once");
    }

    @Test
    void whatTheRigCountedIsSeen() throws IOException {
        fell = List.of("e1");
        drained = List.of("e1 got x");
        failures = List.of("kill");
        crashes = 1;
        samples.add(new ProcessManager.ResourceSample(S, "north-1", 200_000, 10, 30, 40));
        samples.add(new ProcessManager.ResourceSample(S, "engines-north", 400_000, 10, 30, 40));
        fails("new work to an engine", "fell over", "ended by themselves", "could not be carried out", "memory");
    }

    @Test
    void aLossThatCostsTooMuchIsSeen() throws IOException {
        ended(0, 10 * S, 11 * S, LoadGenerator.RequestOutcome.REFUSED, false);
        fails("served while south is lost"); // 0.875 of it, and nine tenths again after 1 s.
        ended(2, 10 * S, 13 * S, LoadGenerator.RequestOutcome.LATE, false);
        fails("served while south is lost", "until nine tenths");
    }

    @Test
    void aReturnThatCostsTooMuchIsSeen() throws IOException {
        results.replaceAll(r -> r.dueMicros() < 14 * S
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
        fails("p99 of first tokens");
    }

    @Test
    void aSiteCalledLostWithoutALossIsSeenAndOneThatWasLostIsNot() throws IOException {
        stands.add(new Fleet.SiteStateChange(11 * S, 0, "south", "doubted", "lost", "silence"));
        fails();
        stands.add(new Fleet.SiteStateChange(11 * S, 0, "west", "doubted", "lost", "silence"));
        fails("called lost without a loss");
    }

    @Test
    void aWordThatSwingsIsSeen() throws IOException {
        for (int i = 0; i < 9; i++) {
            stands.add(new Fleet.SiteStateChange(11 * S, 0, "south", "whole", "doubted", "silence"));
            fails(i < 8 ? new String[0] : new String[] {"changes of a router's word"});
        }
    }

    @Test
    void aReportHoldsItselfAndCompares() throws IOException {
        Fleet.RunResult o = outcome();
        Report.write(o, new RunEvaluation(o).evaluate(List.of(LOSS)), folder, "a.jar");
        String page = Files.readString(folder.resolve("report.html"));
        assertTrue(page.contains("<svg") && page.contains("kill south") && !page.contains("<script"));
        ended(0, 10 * S, 13 * S, LoadGenerator.RequestOutcome.REFUSED, false);
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
