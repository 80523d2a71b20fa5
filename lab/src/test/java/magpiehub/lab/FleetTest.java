package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Whole processes with faults between them: routers as {@code run} starts them, engines, the list, clients.
 *  What
 *  is asserted are the rules, which no machine is too slow for; times are the proof's. */
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetTest {
    /** Guards against a play that does not come to its end. */
    @TempDir
    Path folder;

    private static final Map<String, String> PLANNED = Map.of("site.json", "{\"gentleMs\": 500}");

    private Fleet.RunResult play(int net, long seed, String faults) throws IOException {
        return play(net, seed, faults, Map.of());
    }

    private Fleet.RunResult play(int net, long seed, String faults, Map<String, String> files) throws IOException {
        String json = Files.readString(Path.of("scenarios/zone-cut.json"))
                .replaceFirst("\"seconds\": \\d+", "\"seconds\": 5")
                .replace("\"routers\": 2", "\"routers\": 1")
                .replace("\"engines\": 6", "\"engines\": 3")
                .replace("\"rate\": 25", "\"rate\": 8")
                .replaceFirst("(?s)\"faults\": \\[.*", "\"faults\": [" + faults.replace('\'', '"') + "]}");
        Path jar = Fleet.projectRoot().resolve("target/magpiehub.jar");
        try (Fleet f = new Fleet(Scenario.read(json, seed), jar, folder, net, files, l -> {})) {
            return f.run();
        }
    }

    private static void rulesHold(Fleet.RunResult o) {
        List<RunEvaluation.Bound> broken = new RunEvaluation(o)
                .generalBounds().stream().filter(b -> !b.holds()).toList();
        assertEquals(
                0,
                broken.size(),
                broken + " " + o.failures() + new RunEvaluation(o).concurrentAttempts() + o.attemptsToDrained());
        assertTrue(
                o.results().stream()
                                .filter(r -> r.outcome() == LoadGenerator.RequestOutcome.SERVED
                                        || r.outcome() == LoadGenerator.RequestOutcome.LATE)
                                .count()
                        > o.results().size() / 2,
                "requests went through");
    }

    @Test
    void aSiteIsKilledAndComesBackColdUnderNewIds() throws IOException {
        Fleet.RunResult o = play(
                240,
                1,
                "{'at':1.5,'do':'kill','target':'site','site':'any'},"
                        + "{'at':3,'do':'start','target':'site','site':'any'}");
        rulesHold(o);
        Set<String> at = o.attempts().stream().map(Fleet.Attempt::engine).collect(Collectors.toSet());
        String lost = o.scenario().sites.get(o.scenario().faults.get(0).site()).name();
        assertTrue(at.stream().anyMatch(e -> e.matches(lost + "-e[123]")), at + " has old ones of " + lost);
    }

    @Test
    void aSiteIsStoppedAndContinued() throws IOException {
        rulesHold(play(
                241,
                2,
                "{'at':1.5,'do':'stop','target':'engines','site':'any'},"
                        + "{'at':3.5,'do':'continue','target':'engines','site':'any'}"));
    }

    @Test
    void aSiteIsCutOffAndServesItsOwnClients() throws IOException {
        Fleet.RunResult o = play(242, 3, "{'at':1.5,'do':'cut','site':'any'},{'at':4.5,'do':'heal','site':'any'}");
        rulesHold(o);
        int site = o.scenario().faults.get(0).site();
        long cut = o.faults().get(0).at();
        assertTrue(
                o.results().stream()
                        .anyMatch(r -> r.site() == site
                                && r.dueMicros() > cut + 200_000
                                && r.dueMicros() < cut + 2_800_000
                                && r.outcome() == LoadGenerator.RequestOutcome.SERVED),
                "its own engines serve its clients");
    }

    @Test
    void enginesDrainWhileTheListIsTornAndARouterIsKilled() throws IOException {
        rulesHold(play(
                243,
                4,
                "{'at':1,'do':'list-torn'},{'at':1.2,'do':'drain','target':'north-e1'},"
                        + "{'at':2,'do':'kill','target':'south-1'},"
                        + "{'at':2.5,'do':'reset','site':'any','paths':'engines'},"
                        + "{'at':3,'do':'start','target':'south-1'}"));
    }

    /** With the plan for the loss of a site: routers say what became of it, of the right one, and it is
     *  back. */
    @Test
    void aSilentSiteIsDoubtedByItsNameWhereThatIsPlannedFor() throws IOException {
        Fleet.RunResult o = play(
                244,
                5,
                "{'at':1.5,'do':'stop','target':'engines','site':'any'},"
                        + "{'at':4.5,'do':'continue','target':'engines','site':'any'}",
                PLANNED);
        rulesHold(o);
        String lost = o.scenario().sites.get(o.scenario().faults.get(0).site()).name();
        assertTrue(
                o.siteStateChanges().stream()
                        .anyMatch(s -> s.site().equals(lost) && s.from().equals("whole") && s.to().equals("doubted")),
                o.siteStateChanges().toString());
        assertEquals(
                0,
                o.siteStateChanges().stream()
                        .filter(s -> s.to().equals("lost") && !s.site().equals(lost))
                        .count(),
                "none else is called lost");
    }

    /** An operator gives one site up and takes it back, while another is lost. */
    @Test
    void anOperatorsWordHoldsDuringTheLossOfAnotherSite() throws IOException {
        Fleet.RunResult o = play(
                245,
                6,
                "{'at':0.2,'do':'say','target':'site-out north'},"
                        + "{'at':1.5,'do':'kill','target':'engines','site':'south'},"
                        + "{'at':3.5,'do':'say','target':'site-in north'},"
                        + "{'at':3.6,'do':'say','target':'site-status'},"
                        + "{'at':4,'do':'start','target':'engines','site':'south'}",
                PLANNED);
        rulesHold(o);
        long in = o.faults().get(2).at();
        long out = o.faults().get(0).at();
        List<Fleet.Attempt> then = o.attempts().stream()
                .filter(a -> a.startedMicros() > out + 2_000_000 && a.startedMicros() < in)
                .toList();
        long there = then.stream().filter(a -> a.engine().startsWith("north-")).count();
        assertTrue(
                then.size() > 5 && there * 5 < then.size(),
                "once its part has fallen to nothing, the last resort of few, until it is taken back: "
                        + there
                        + " of " + then.size());
        assertTrue(o.siteStateChanges().stream().anyMatch(s -> s.site().equals("north") && s.to().equals("returning")));
    }
}
