package magpiehub.sites;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import magpiehub.config.ConfigurationException;
import magpiehub.routing.ZoneEvidence;
import magpiehub.telemetry.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the settings file, zone health as the routing policy sees it, the log, and withdrawals by operators. */
class SiteFailoverTest {
    private static final long SECOND = 1_000_000;

    @TempDir
    Path folder;

    private final List<String> logged = new ArrayList<>();
    private final SiteFailover failover =
            new SiteFailover(SiteFailoverSettings.DEFAULTS, List.of("north", "south", "west"), 0, 1, new EventLog() {
                @Override
                public void count(String name) {
                    logged.add(name);
                }

                @Override
                public void log(String what, String... namesAndValues) {
                    logged.add(what + " " + String.join(" ", namesAndValues));
                }
            });

    private SiteFailoverSettings readSettings(String json) throws Exception {
        Path file = Files.createTempFile(folder, "junit", ".tmp");
        Files.writeString(file, json);
        return SiteFailoverSettings.read(file);
    }

    @Test
    void readsSettingsAndRejectsMalformedFiles() throws Exception {
        assertNull(SiteFailoverSettings.read(folder.resolve("none.json")));
        assertEquals(SiteFailoverSettings.DEFAULTS, readSettings("{}"));
        assertEquals(2_500_000, readSettings("{\"trialMs\":2500}").trialIntervalMicros());
        for (String bad : List.of("{\"trial\":1}", "{\"engines\":0}", "{\"slow\":\"x\"}", "{\"stepMs\":-1}", "{")) {
            assertThrows(ConfigurationException.class, () -> readSettings(bad), bad);
        }
    }

    @Test
    void logsALossWithItsCauseAndSuspendsTheSiteUntilItAnswers() {
        failover.setZoneCount(3);
        for (int i = 0; i < 3; i++) {
            failover.setReplicaCount(0, i, 8);
        }
        for (int i = 0; i < 6; i++) {
            failover.recordEvidence(SECOND + i * 10_000L, 1, "s" + i, ZoneEvidence.NO_CONNECTION, 1_000, 1);
            failover.recordEvidence(SECOND + i * 10_000L + 5_000, 2, "w" + i, ZoneEvidence.ANSWERED, 400, 1);
        }
        assertEquals(0, failover.siteNames().indexOf("north"));
        assertTrue(
                logged.contains("site name south from doubted to lost cause no_connection")
                        && logged.contains("site_lost"),
                logged.toString());
        assertFalse(failover.accepts(2 * SECOND, 1, 0));
        assertTrue(failover.accepts(2 * SECOND, 2, 0.99));
        assertTrue(failover.closedSince(1) <= SECOND + 60_000, "suspended since the loss was detected");
        failover.advance(2 * SECOND);
        assertEquals("lost share=0% cause=no_connection", failover.siteStatus().get("south"));
        assertTrue(failover.metrics().contains("site_south lost share=0% cause=no_connection\n"));
        failover.recordEvidence(4 * SECOND, 1, "s1", ZoneEvidence.ANSWERED, 1_000, 1);
        assertEquals(Long.MAX_VALUE, failover.closedSince(1));
        assertTrue(
                failover.accepts(4 * SECOND, 1, 0.09) && !failover.accepts(4 * SECOND, 1, 0.11),
                "the first step has 10 % of the traffic");
    }

    @Test
    void withdrawsASiteGraduallyAndReturnsItInSteps() {
        failover.setZoneCount(3);
        failover.advance(SECOND);
        failover.setWithdrawnSites(Set.of("west"));
        failover.advance(2 * SECOND);
        assertTrue(failover.accepts(2 * SECOND + 100_000, 2, 0.9), "nearly all traffic at first");
        assertFalse(failover.accepts(6 * SECOND, 2, 0), "no traffic at the end");
        assertTrue(failover.accepts(6 * SECOND, 1, 0.99));
        failover.setWithdrawnSites(Set.of());
        failover.advance(7 * SECOND);
        assertTrue(
                failover.siteStatus().get("west").startsWith("returning share=10%"),
                failover.siteStatus().get("west"));
        assertTrue(failover.accepts(7 * SECOND, 9, 1), "zones that are not configured are not tracked");
    }
}
