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

/**
 * End-to-end tests with real processes and injected faults: routers started with the command of {@code run}, engines,
 * discovery and clients. Asserts only the general bounds, which hold on a slow machine too; {@code make proof-site}
 * checks the bounds on times.
 */
// The time limit guards against a run that does not end.
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetTest {
    @TempDir
    Path folder;

    private static final Map<String, String> SITE_FAILOVER_CONFIG = Map.of("site.json", "{\"gentleMs\": 500}");

    private Fleet.RunResult run(int net, long seed, String faults) throws IOException {
        return run(net, seed, faults, Map.of());
    }

    private Fleet.RunResult run(int net, long seed, String faults, Map<String, String> files) throws IOException {
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

    private static void assertGeneralBoundsHold(Fleet.RunResult o) {
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
                "more than half of the requests were served");
    }

    @Test
    void killedSiteReturnsColdUnderNewIds() throws IOException {
        Fleet.RunResult o = run(
                240,
                1,
                "{'at':1.5,'do':'kill','target':'site','site':'any'},"
                        + "{'at':3,'do':'start','target':'site','site':'any'}");
        assertGeneralBoundsHold(o);
        Set<String> at = o.attempts().stream().map(Fleet.Attempt::engine).collect(Collectors.toSet());
        String lost = o.scenario().sites.get(o.scenario().faults.get(0).site()).name();
        assertTrue(
                at.stream().anyMatch(e -> e.matches(lost + "-e[123]")),
                at + " lacks the engines from before the loss of " + lost);
    }

    @Test
    void stoppedSiteContinues() throws IOException {
        assertGeneralBoundsHold(run(
                241,
                2,
                "{'at':1.5,'do':'stop','target':'engines','site':'any'},"
                        + "{'at':3.5,'do':'continue','target':'engines','site':'any'}"));
    }

    @Test
    void isolatedSiteServesItsOwnClients() throws IOException {
        Fleet.RunResult o = run(242, 3, "{'at':1.5,'do':'cut','site':'any'},{'at':4.5,'do':'heal','site':'any'}");
        assertGeneralBoundsHold(o);
        int site = o.scenario().faults.get(0).site();
        long cut = o.faults().get(0).at();
        assertTrue(
                o.results().stream()
                        .anyMatch(r -> r.site() == site
                                && r.dueMicros() > cut + 200_000
                                && r.dueMicros() < cut + 2_800_000
                                && r.outcome() == LoadGenerator.RequestOutcome.SERVED),
                "the site's engines serve its own clients");
    }

    @Test
    void enginesDrainWhileListIsTruncatedAndRouterIsKilled() throws IOException {
        assertGeneralBoundsHold(run(
                243,
                4,
                "{'at':1,'do':'list-torn'},{'at':1.2,'do':'drain','target':'north-e1'},"
                        + "{'at':2,'do':'kill','target':'south-1'},"
                        + "{'at':2.5,'do':'reset','site':'any','paths':'engines'},"
                        + "{'at':3,'do':'start','target':'south-1'}"));
    }

    /** With site failover configured, routers report state changes of the right site only. */
    @Test
    void silentSiteIsDoubtedIfSiteFailoverIsConfigured() throws IOException {
        Fleet.RunResult o = run(
                244,
                5,
                "{'at':1.5,'do':'stop','target':'engines','site':'any'},"
                        + "{'at':4.5,'do':'continue','target':'engines','site':'any'}",
                SITE_FAILOVER_CONFIG);
        assertGeneralBoundsHold(o);
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
                "no other site is declared lost");
    }

    /** An operator takes one site out and back in while another one is lost. */
    @Test
    void operatorCommandHoldsDuringLossOfAnotherSite() throws IOException {
        Fleet.RunResult o = run(
                245,
                6,
                "{'at':0.2,'do':'say','target':'site-out north'},"
                        + "{'at':1.5,'do':'kill','target':'engines','site':'south'},"
                        + "{'at':3.5,'do':'say','target':'site-in north'},"
                        + "{'at':3.6,'do':'say','target':'site-status'},"
                        + "{'at':4,'do':'start','target':'engines','site':'south'}",
                SITE_FAILOVER_CONFIG);
        assertGeneralBoundsHold(o);
        long in = o.faults().get(2).at();
        long out = o.faults().get(0).at();
        List<Fleet.Attempt> then = o.attempts().stream()
                .filter(a -> a.startedMicros() > out + 2_000_000 && a.startedMicros() < in)
                .toList();
        long there = then.stream().filter(a -> a.engine().startsWith("north-")).count();
        assertTrue(
                then.size() > 5 && there * 5 < then.size(),
                "a site that was taken out gets only the few requests that have no alternative: "
                        + there
                        + " of " + then.size());
        assertTrue(o.siteStateChanges().stream().anyMatch(s -> s.site().equals("north") && s.to().equals("returning")));
    }
}
