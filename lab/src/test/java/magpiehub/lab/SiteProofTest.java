package magpiehub.lab;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.Assume;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.junit.rules.Timeout;

/** The proof of the loss of a site as CI plays it: nine routers, 24 engines, what three seeds draw. Its
 *  bounds on
 *  times are left to {@code make proof-site}; a machine that can't carry the load by itself says nothing. */
public class SiteProofTest {
    private static final List<String> TIMES = List.of("until nine tenths", "p99 of first tokens");
    /** Guards against a play that does not come to its end. */
    @Rule
    public final Timeout patience = Timeout.seconds(300);

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private void holds(int net, long seed, String kind) throws IOException {
        SiteProof p = SiteProof.drawn(seed, null);
        assertEquals("drawn from the seed", kind, p.kind());
        try (Fleet f = new Fleet(
                p.scenario(),
                Fleet.root().resolve("target/magpiehub.jar"),
                folder.getRoot().toPath(),
                net,
                Map.of("site.json", "{}"),
                l -> {})) {
            Fleet.Outcome o = f.play();
            List<Verdict.Bound> all = new Verdict(o)
                    .of(p.losses().stream()
                            .map(l ->
                                    new Verdict.Loss(l.site(), l.from() + o.from(), l.until() + o.from(), l.refused()))
                            .toList());
            System.out.println("proof-site seed=" + seed + " case=" + kind + " rig late p99 ms=" + o.late() / 1000);
            all.forEach(System.out::println);
            Assume.assumeTrue("requests left " + o.late() / 1000 + " ms late", o.late() <= 50_000);
            List<Verdict.Bound> broken = all.stream()
                    .filter(b -> !b.holds() && TIMES.stream().noneMatch(b.name()::contains))
                    .toList();
            assertTrue(broken + " " + o.toDrained() + o.failures(), broken.isEmpty());
        }
    }

    @Test
    public void seedOne() throws IOException {
        holds(246, 1, "cut-back");
    }

    @Test
    public void seedTwo() throws IOException {
        holds(247, 2, "cut-off");
    }

    @Test
    public void seedThree() throws IOException {
        holds(248, 3, "killed");
    }
}
