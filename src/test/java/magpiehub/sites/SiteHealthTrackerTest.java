package magpiehub.sites;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiehub.routing.ZoneEvidence;
import org.junit.jupiter.api.Test;

/** Tests the state machine with three sites, of which 0 is the router's own. */
class SiteHealthTrackerTest {
    private static final SiteFailoverSettings SETTINGS = SiteFailoverSettings.DEFAULTS;
    private static final long MILLIS = 1_000;
    private final SiteHealthTracker tracker = new SiteHealthTracker(SETTINGS, 3, 0, 7);
    private long now = 1_000_000_000;

    private void fail(int site, int replicas, ZoneEvidence evidence) {
        for (int i = 0; i < replicas; i++) {
            now += 10 * MILLIS;
            tracker.onEvidence(now, site, site + "." + i, evidence, 5 * MILLIS, 0);
        }
    }

    private void answer(int site) {
        now += 10 * MILLIS;
        tracker.onEvidence(now, site, site + ".9", ZoneEvidence.ANSWERED, 5 * MILLIS, 1);
    }

    private void pass(long micros) {
        for (long until = now + micros; now < until; ) {
            now += 50 * MILLIS;
            tracker.onTick(now);
        }
    }

    private void lose(int site) {
        fail(site, SETTINGS.failedReplicasForLoss() - 1, ZoneEvidence.NO_CONNECTION);
        answer(3 - site);
        fail(site, SETTINGS.failedReplicasForLoss(), ZoneEvidence.NO_CONNECTION);
        answer(3 - site);
        assertEquals(SiteState.LOST, tracker.state(site));
    }

    @Test
    void aSiteIsLostOnceEnoughReplicasFailAndAnotherSiteAnswers() {
        fail(1, 2, ZoneEvidence.NO_CONNECTION);
        assertEquals(SiteState.SUSPECT, tracker.state(1));
        assertEquals(0.5, tracker.share(1, now));
        assertEquals(
                SETTINGS.failedReplicasForLoss() + 1,
                tracker.acquireHealthChecks(1),
                "health checks for the remaining evidence");
        assertEquals(0, tracker.acquireHealthChecks(1));
        fail(1, SETTINGS.failedReplicasForLoss(), ZoneEvidence.NO_CONNECTION);
        assertEquals(SiteState.SUSPECT, tracker.state(1), "the router itself may be isolated");
        assertEquals(0, tracker.share(1, now));
        assertEquals(1, tracker.acquireHealthChecks(2), "so another site is checked");
        answer(2);
        assertEquals(SiteState.SUSPECT, tracker.state(1), "the network may have recovered in the meantime");
        assertEquals(1, tracker.acquireHealthChecks(1), "so the failed site is checked again");
        assertEquals(0, tracker.acquireHealthChecks(1));
        fail(1, 1, ZoneEvidence.NO_CONNECTION);
        answer(2);
        assertEquals(SiteState.LOST, tracker.state(1));
        assertEquals(TransitionCause.NO_CONNECTION, tracker.cause(1));
        assertEquals(2, tracker.drainTransitions().size());
    }

    /** The first site that answers after an isolation of the router does not prove that the others are lost. */
    @Test
    void noSiteIsLostWhenAnIsolationEnds() {
        for (int i = 0; i < SETTINGS.failedReplicasForLoss(); i++) {
            fail(1, i + 1, ZoneEvidence.NO_CONNECTION);
            fail(2, i + 1, ZoneEvidence.NO_CONNECTION);
            answer(0);
        }
        answer(2);
        // A failure of an attempt that was sent before that answer, observed after it.
        now += 10 * MILLIS;
        tracker.onEvidence(now, 1, "1.1", ZoneEvidence.NO_CONNECTION, 100 * MILLIS, 0);
        assertEquals(SiteState.SUSPECT, tracker.state(1));
        assertEquals(1, tracker.acquireHealthChecks(1));
        answer(1);
        assertEquals(SiteState.HEALTHY, tracker.state(1));
    }

    @Test
    void answersOfTheOwnSiteDoNotConfirmALoss() {
        fail(1, SETTINGS.failedReplicasForLoss(), ZoneEvidence.NO_CONNECTION);
        answer(0);
        assertEquals(SiteState.SUSPECT, tracker.state(1));
        assertEquals(0, tracker.share(1, now));
    }

    /** The router's site is partitioned from the others, and its own replicas answer: no site is lost. */
    @Test
    void anIsolatedRouterDeclaresNoSiteLost() {
        for (int i = 0; i < SETTINGS.failedReplicasForLoss(); i++) {
            fail(1, i + 1, ZoneEvidence.NO_CONNECTION);
            fail(2, i + 1, ZoneEvidence.NO_CONNECTION);
            answer(0);
        }
        pass(10_000_000);
        assertTrue(tracker.isRouterIsolated());
        for (int other = 1; other < 3; other++) {
            assertEquals(SiteState.SUSPECT, tracker.state(other));
            assertEquals(0, tracker.share(other, now));
        }
        assertEquals(1, tracker.share(0, now));
        answer(1);
        assertEquals(SiteState.RECOVERING, tracker.state(1), "traffic returns in steps after such a time");
    }

    @Test
    void twoOfThreeSitesAreLostOnceTheEndpointListNamesNoneOfTheirReplicas() {
        fail(1, SETTINGS.failedReplicasForLoss(), ZoneEvidence.SILENCE);
        fail(2, SETTINGS.failedReplicasForLoss(), ZoneEvidence.SILENCE);
        answer(0);
        tracker.onEndpointList(now, 1, 0, 20_000_000);
        assertEquals(SiteState.SUSPECT, tracker.state(1), "an old list is no evidence");
        tracker.onEndpointList(now, 1, 0, 1_000_000);
        tracker.onEndpointList(now, 2, 0, 1_000_000);
        pass(SETTINGS.evidenceWindowMicros());
        assertEquals(SiteState.LOST, tracker.state(1));
        assertEquals(SiteState.LOST, tracker.state(2));
        assertEquals(TransitionCause.ENDPOINT_LIST, tracker.cause(2));
    }

    @Test
    void theOwnSiteCanBeLost() {
        fail(0, SETTINGS.failedReplicasForLoss(), ZoneEvidence.NO_CONNECTION);
        answer(1);
        fail(0, 1, ZoneEvidence.NO_CONNECTION);
        answer(1);
        assertEquals(SiteState.LOST, tracker.state(0));
    }

    @Test
    void slownessOfAllSitesIsNotALoss() {
        for (int i = 0; i < 40; i++) {
            for (int site = 0; site < 3; site++) {
                now += 20 * MILLIS;
                tracker.onEvidence(
                        now,
                        site,
                        site + "." + i % 8,
                        i % 3 == 0 ? ZoneEvidence.SILENCE : ZoneEvidence.ANSWERED,
                        5 * MILLIS,
                        9);
            }
        }
        for (int site = 0; site < 3; site++) {
            assertTrue(tracker.state(site) == SiteState.HEALTHY || tracker.state(site) == SiteState.SUSPECT);
        }
        // A silent site is not lost while the others are slow, but is lost once another one answers promptly.
        fail(1, SETTINGS.failedReplicasForLoss(), ZoneEvidence.SILENCE);
        tracker.onEvidence(now + 1, 2, "2.1", ZoneEvidence.ANSWERED, 5 * MILLIS, 9);
        fail(1, 1, ZoneEvidence.SILENCE);
        assertEquals(SiteState.SUSPECT, tracker.state(1));
        answer(2);
        fail(1, 1, ZoneEvidence.SILENCE);
        answer(2);
        assertEquals(SiteState.LOST, tracker.state(1));
    }

    @Test
    void oneSlowSiteIsSuspectAndNeverLost() {
        for (int i = 0; i < 60; i++) {
            answer(2);
            now += 20 * MILLIS;
            tracker.onEvidence(now, 1, "1." + i % 8, ZoneEvidence.ANSWERED, 5 * MILLIS, 30);
        }
        assertEquals(SiteState.SUSPECT, tracker.state(1));
        assertEquals(TransitionCause.SLOW, tracker.cause(1));
        answer(1);
        assertEquals(SiteState.HEALTHY, tracker.state(1));
    }

    /** A few faulty replicas don't make the site lost, however many requests they fail. */
    @Test
    void aFewFaultyReplicasAreNotALoss() {
        for (int i = 0; i < 50; i++) {
            fail(1, 3, ZoneEvidence.ERROR);
            answer(2);
        }
        assertTrue(tracker.state(1) != SiteState.LOST && tracker.share(1, now) > 0);
        answer(1);
        assertEquals(SiteState.HEALTHY, tracker.state(1));
    }

    @Test
    void oldEvidenceExpires() {
        fail(1, 2, ZoneEvidence.NO_CONNECTION);
        pass(SETTINGS.evidenceWindowMicros() + 100 * MILLIS);
        assertEquals(SiteState.HEALTHY, tracker.state(1));
        assertEquals(TransitionCause.EVIDENCE_EXPIRED, tracker.cause(1));
    }

    @Test
    void anEndpointListWithoutTheSiteIsNotALossWhileTheSiteAnswers() {
        answer(1);
        tracker.onEndpointList(now, 1, 0, 0);
        assertEquals(SiteState.SUSPECT, tracker.state(1));
        for (int i = 0; i < 20; i++) {
            pass(200 * MILLIS);
            answer(1);
            assertTrue(tracker.state(1) != SiteState.LOST);
        }
        pass(SETTINGS.evidenceWindowMicros() + 100 * MILLIS);
        assertEquals(SiteState.LOST, tracker.state(1), "no answer within the evidence window");
    }

    @Test
    void recoveryAdvancesInStepsAndStepsBackOnSlowAnswers() {
        lose(1);
        answer(1);
        assertEquals(SiteState.RECOVERING, tracker.state(1));
        assertEquals(0.1, tracker.share(1, now));
        for (double share : new double[] {0.25, 0.5}) {
            answer(1);
            pass(SETTINGS.rampStepMicros() + 50 * MILLIS);
            assertEquals(share, tracker.share(1, now));
        }
        for (int i = 0; i < 4; i++) {
            answer(2);
            now += 10 * MILLIS;
            tracker.onEvidence(now, 1, "1." + i, ZoneEvidence.ANSWERED, 5 * MILLIS, 9);
        }
        tracker.onTick(now);
        assertEquals(0.25, tracker.share(1, now));
        for (int i = 0; i < 3; i++) {
            answer(1);
            pass(SETTINGS.rampStepMicros() + 50 * MILLIS);
        }
        assertEquals(SiteState.HEALTHY, tracker.state(1));
        assertEquals(4, tracker.drainTransitions().size(), "suspect, lost, recovering, healthy");
    }

    /** The site is lost again while it recovers: each loss lengthens the trial interval, up to the maximum. */
    @Test
    void repeatedLossesLengthenTheTrialInterval() {
        long previousWait = 0;
        for (int flap = 0; flap < 8; flap++) {
            lose(1);
            long lostAt = now;
            while (!tracker.acquireTrial(1, now)) {
                now += MILLIS;
            }
            long waited = now - lostAt;
            assertTrue(waited <= 1.25 * SETTINGS.maxTrialIntervalMicros());
            assertTrue(waited
                    >= 0.75
                            * Math.min(
                                    SETTINGS.maxTrialIntervalMicros(), SETTINGS.trialIntervalMicros() << (2 * flap)));
            assertTrue(flap > 3 || waited > previousWait);
            previousWait = waited;
            assertFalse(tracker.acquireTrial(1, now), "only one trial per interval");
            answer(1);
            assertEquals(SiteState.RECOVERING, tracker.state(1));
        }
    }

    @Test
    void aWithdrawalIsGradualAndNotEndedByTheLossOfAnotherSite() {
        tracker.withdraw(now, 1);
        assertEquals(1, tracker.share(1, now));
        now += SETTINGS.withdrawalMicros() / 2;
        assertEquals(0.5, tracker.share(1, now), 0.01);
        fail(2, SETTINGS.failedReplicasForLoss(), ZoneEvidence.NO_CONNECTION);
        fail(1, SETTINGS.failedReplicasForLoss(), ZoneEvidence.NO_CONNECTION);
        answer(1);
        fail(2, 1, ZoneEvidence.NO_CONNECTION);
        answer(1);
        assertEquals(SiteState.LOST, tracker.state(2), "another site is lost during the withdrawal");
        pass(SETTINGS.withdrawalMicros());
        assertEquals(SiteState.WITHDRAWN, tracker.state(1));
        assertEquals(0, tracker.share(1, now));
        assertFalse(tracker.acquireTrial(1, now), "no trials to a withdrawn site");
        tracker.reinstate(now, 1);
        assertEquals(0.1, tracker.share(1, now));
    }
}
