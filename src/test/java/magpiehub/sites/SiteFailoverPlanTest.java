package magpiehub.sites;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import magpiehub.config.ConfigurationException;
import magpiehub.routing.ZoneEvidence;
import magpiehub.telemetry.EventLog;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The plan's file, its word to the module, its log and the operators' word. */
public class SiteFailoverPlanTest {
    private static final long S = 1_000_000;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private final List<String> logged = new ArrayList<>();
    private final SiteFailoverPlan plan = new SiteFailoverPlan(
            SiteHealthTracker.Settings.USUAL, List.of("north", "south", "west"), 0, 1, new EventLog() {
                @Override
                public void count(String name) {
                    logged.add(name);
                }

                @Override
                public void log(String what, String... namesAndValues) {
                    logged.add(what + " " + String.join(" ", namesAndValues));
                }
            });

    private SiteHealthTracker.Settings read(String json) throws Exception {
        Path f = folder.newFile().toPath();
        Files.writeString(f, json);
        return SiteFailoverPlan.read(f);
    }

    @Test
    public void theFileSetsWhatItNamesAndAWrongOneIsTurnedDown() throws Exception {
        assertNull(SiteFailoverPlan.read(folder.getRoot().toPath().resolve("none.json")));
        assertEquals(SiteHealthTracker.Settings.USUAL, read("{}"));
        assertEquals(2_500_000, read("{\"trialMs\":2500}").trial());
        for (String bad : List.of("{\"trial\":1}", "{\"engines\":0}", "{\"slow\":\"x\"}", "{\"stepMs\":-1}", "{")) {
            assertThrows(bad, ConfigurationException.class, () -> read(bad));
        }
    }

    @Test
    public void aLossIsNamedWithItsCauseAndShutsTheSiteUntilItAnswers() {
        plan.number(3);
        for (int i = 0; i < 3; i++) {
            plan.listed(0, i, 8);
        }
        for (int i = 0; i < 6; i++) {
            plan.told(S + i * 10_000, 1, "s" + i, ZoneEvidence.NO_CONNECTION, 1_000, 1);
            plan.told(S + i * 10_000 + 5_000, 2, "w" + i, ZoneEvidence.ANSWERED, 400, 1);
        }
        assertEquals(0, plan.names().indexOf("north"));
        assertTrue(
                logged.toString(),
                logged.contains("site name south from doubted to lost cause no_connection")
                        && logged.contains("site_lost"));
        assertFalse(plan.takes(2 * S, 1, 0));
        assertTrue(plan.takes(2 * S, 2, 0.99));
        assertTrue("since it was seen", plan.shutSince(1) <= S + 60_000);
        plan.tick(2 * S);
        assertEquals("lost share=0% cause=no_connection", plan.standing().get("south"));
        assertTrue(plan.figures().contains("site_south lost share=0% cause=no_connection\n"));
        plan.told(4 * S, 1, "s1", ZoneEvidence.ANSWERED, 1_000, 1);
        assertEquals(Long.MAX_VALUE, plan.shutSince(1));
        assertTrue("a tenth first", plan.takes(4 * S, 1, 0.09) && !plan.takes(4 * S, 1, 0.11));
    }

    @Test
    public void theOperatorsWordEmptiesASiteGentlyAndBringsItBackInSteps() {
        plan.number(3);
        plan.tick(S);
        plan.out(Set.of("west"));
        plan.tick(2 * S);
        assertTrue("at first nearly all", plan.takes(2 * S + 100_000, 2, 0.9));
        assertFalse("then none", plan.takes(6 * S, 2, 0));
        assertTrue(plan.takes(6 * S, 1, 0.99));
        plan.out(Set.of());
        plan.tick(7 * S);
        assertTrue(plan.standing().get("west"), plan.standing().get("west").startsWith("returning share=10%"));
        assertTrue("a zone that the file did not name is the module's", plan.takes(7 * S, 9, 1));
    }
}
