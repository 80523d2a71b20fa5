package magpiehub.sites;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import magpiehub.routing.ZoneEvidence;
import magpiehub.sites.SiteHealthTracker.Cause;
import magpiehub.sites.SiteHealthTracker.State;
import org.junit.Test;

/** The machine driven directly: three sites, the router's own is 0. */
public class SiteHealthTrackerTest {
    private static final SiteHealthTracker.Settings S = SiteHealthTracker.Settings.USUAL;
    private static final long MS = 1_000;
    private final SiteHealthTracker sites = new SiteHealthTracker(S, 3, 0, 7);
    private long now = 1_000_000_000;

    private void fail(int site, int engines, ZoneEvidence sign) {
        for (int i = 0; i < engines; i++) {
            now += 10 * MS;
            sites.sign(now, site, site + "." + i, sign, 5 * MS, 0);
        }
    }

    private void answer(int site) {
        now += 10 * MS;
        sites.sign(now, site, site + ".9", ZoneEvidence.ANSWERED, 5 * MS, 1);
    }

    private void pass(long us) {
        for (long until = now + us; now < until; ) {
            now += 50 * MS;
            sites.tick(now);
        }
    }

    private void lose(int site) {
        fail(site, S.engines() - 1, ZoneEvidence.NO_CONNECTION);
        answer(3 - site);
        fail(site, S.engines(), ZoneEvidence.NO_CONNECTION);
        answer(3 - site);
        assertEquals(State.LOST, sites.state(site));
    }

    @Test
    public void aSiteIsLostOnceEnoughEnginesFailAndAnotherSiteAnswers() {
        fail(1, 2, ZoneEvidence.NO_CONNECTION);
        assertEquals(State.DOUBTED, sites.state(1));
        assertEquals(0.5, sites.share(1, now), 0);
        assertEquals("the rest of the evidence is asked for", S.engines() + 1, sites.checks(1));
        assertEquals(0, sites.checks(1));
        fail(1, S.engines(), ZoneEvidence.NO_CONNECTION);
        assertEquals("nobody has told a loss from a cut yet", State.DOUBTED, sites.state(1));
        assertEquals(0, sites.share(1, now), 0);
        assertEquals("so the third site is asked", 1, sites.checks(2));
        answer(2);
        assertEquals("the paths may have come back meanwhile", State.DOUBTED, sites.state(1));
        assertEquals("so it is asked once more", 1, sites.checks(1));
        assertEquals(0, sites.checks(1));
        fail(1, 1, ZoneEvidence.NO_CONNECTION);
        answer(2);
        assertEquals(State.LOST, sites.state(1));
        assertEquals(Cause.NO_CONNECTION, sites.cause(1));
        assertEquals(2, sites.changes().size());
    }

    /** A cut of the router's own ends: whoever answers first is no witness against the rest. */
    @Test
    public void theEndOfACutLosesNobody() {
        for (int i = 0; i < S.engines(); i++) {
            fail(1, i + 1, ZoneEvidence.NO_CONNECTION);
            fail(2, i + 1, ZoneEvidence.NO_CONNECTION);
            answer(0);
        }
        answer(2);
        // Sent before that answer came, told after it.
        now += 10 * MS;
        sites.sign(now, 1, "1.1", ZoneEvidence.NO_CONNECTION, 100 * MS, 0);
        assertEquals(State.DOUBTED, sites.state(1));
        assertEquals(1, sites.checks(1));
        answer(1);
        assertEquals(State.WHOLE, sites.state(1));
    }

    @Test
    public void theOwnSiteIsNoWitness() {
        fail(1, S.engines(), ZoneEvidence.NO_CONNECTION);
        answer(0);
        assertEquals(State.DOUBTED, sites.state(1));
        assertEquals(0, sites.share(1, now), 0);
    }

    /** The router's site is cut off from the others, and its own engines answer: no site is lost. */
    @Test
    public void whoIsCutOffCallsNobodyLost() {
        for (int i = 0; i < S.engines(); i++) {
            fail(1, i + 1, ZoneEvidence.NO_CONNECTION);
            fail(2, i + 1, ZoneEvidence.NO_CONNECTION);
            answer(0);
        }
        pass(10_000_000);
        assertTrue(sites.cutOff());
        for (int other = 1; other < 3; other++) {
            assertEquals(State.DOUBTED, sites.state(other));
            assertEquals(0, sites.share(other, now), 0);
        }
        assertEquals(1, sites.share(0, now), 0);
        answer(1);
        assertEquals("by steps, after so long", State.RETURNING, sites.state(1));
    }

    @Test
    public void twoOfThreeAreLostOnceTheListSaysSo() {
        fail(1, S.engines(), ZoneEvidence.SILENCE);
        fail(2, S.engines(), ZoneEvidence.SILENCE);
        answer(0);
        sites.listed(now, 1, 0, 20_000_000);
        assertEquals("an old list says nothing", State.DOUBTED, sites.state(1));
        sites.listed(now, 1, 0, 1_000_000);
        sites.listed(now, 2, 0, 1_000_000);
        pass(S.window());
        assertEquals(State.LOST, sites.state(1));
        assertEquals(State.LOST, sites.state(2));
        assertEquals(Cause.LIST, sites.cause(2));
    }

    @Test
    public void theOwnSiteCanBeLost() {
        fail(0, S.engines(), ZoneEvidence.NO_CONNECTION);
        answer(1);
        fail(0, 1, ZoneEvidence.NO_CONNECTION);
        answer(1);
        assertEquals(State.LOST, sites.state(0));
    }

    @Test
    public void slownessOfAllIsNoLoss() {
        for (int i = 0; i < 40; i++) {
            for (int site = 0; site < 3; site++) {
                now += 20 * MS;
                sites.sign(
                        now,
                        site,
                        site + "." + i % 8,
                        i % 3 == 0 ? ZoneEvidence.SILENCE : ZoneEvidence.ANSWERED,
                        5 * MS,
                        9);
            }
        }
        for (int site = 0; site < 3; site++) {
            assertTrue(sites.state(site) == State.WHOLE || sites.state(site) == State.DOUBTED);
        }
        // A silent site beside slow ones is not lost either, and one beside a brisk one is.
        fail(1, S.engines(), ZoneEvidence.SILENCE);
        sites.sign(now + 1, 2, "2.1", ZoneEvidence.ANSWERED, 5 * MS, 9);
        fail(1, 1, ZoneEvidence.SILENCE);
        assertEquals(State.DOUBTED, sites.state(1));
        answer(2);
        fail(1, 1, ZoneEvidence.SILENCE);
        answer(2);
        assertEquals(State.LOST, sites.state(1));
    }

    @Test
    public void oneSlowSiteIsDoubtedAndNeverLost() {
        for (int i = 0; i < 60; i++) {
            answer(2);
            now += 20 * MS;
            sites.sign(now, 1, "1." + i % 8, ZoneEvidence.ANSWERED, 5 * MS, 30);
        }
        assertEquals(State.DOUBTED, sites.state(1));
        assertEquals(Cause.SLOW, sites.cause(1));
        answer(1);
        assertEquals(State.WHOLE, sites.state(1));
    }

    /** Bad engines are no bad site, whatever is asked of them how often. */
    @Test
    public void aFewBadEnginesAreNoLoss() {
        for (int i = 0; i < 50; i++) {
            fail(1, 3, ZoneEvidence.ERROR);
            answer(2);
        }
        assertTrue(sites.state(1) != State.LOST && sites.share(1, now) > 0);
        answer(1);
        assertEquals(State.WHOLE, sites.state(1));
    }

    @Test
    public void oldEvidencePasses() {
        fail(1, 2, ZoneEvidence.NO_CONNECTION);
        pass(S.window() + 100 * MS);
        assertEquals(State.WHOLE, sites.state(1));
        assertEquals(Cause.PASSED, sites.cause(1));
    }

    @Test
    public void theListMayBeWrongWhileTheSiteAnswers() {
        answer(1);
        sites.listed(now, 1, 0, 0);
        assertEquals(State.DOUBTED, sites.state(1));
        for (int i = 0; i < 20; i++) {
            pass(200 * MS);
            answer(1);
            assertTrue(sites.state(1) != State.LOST);
        }
        pass(S.window() + 100 * MS);
        assertEquals("nothing has come for a while", State.LOST, sites.state(1));
    }

    @Test
    public void aReturnGoesByStepsAndBackWhenItGoesBadly() {
        lose(1);
        answer(1);
        assertEquals(State.RETURNING, sites.state(1));
        assertEquals(0.1, sites.share(1, now), 0);
        for (double share : new double[] {0.25, 0.5}) {
            answer(1);
            pass(S.step() + 50 * MS);
            assertEquals(share, sites.share(1, now), 0);
        }
        for (int i = 0; i < 4; i++) {
            answer(2);
            now += 10 * MS;
            sites.sign(now, 1, "1." + i, ZoneEvidence.ANSWERED, 5 * MS, 9);
        }
        sites.tick(now);
        assertEquals(0.25, sites.share(1, now), 0);
        for (int i = 0; i < 3; i++) {
            answer(1);
            pass(S.step() + 50 * MS);
        }
        assertEquals(State.WHOLE, sites.state(1));
        assertEquals("four changes an event", 4, sites.changes().size());
    }

    /** Lost again at half of its ramp: each loss waits longer, up to the bound. */
    @Test
    public void aSiteThatFlapsWaitsLongerEachTime() {
        long before = 0;
        for (int flap = 0; flap < 8; flap++) {
            lose(1);
            long began = now;
            while (!sites.tryNow(1, now)) {
                now += MS;
            }
            long waited = now - began;
            assertTrue(waited <= 1.25 * S.longest());
            assertTrue(waited >= 0.75 * Math.min(S.longest(), S.trial() << (2 * flap)));
            assertTrue(flap > 3 || waited > before);
            before = waited;
            assertFalse("one trial at a time", sites.tryNow(1, now));
            answer(1);
            assertEquals(State.RETURNING, sites.state(1));
        }
    }

    @Test
    public void anOperatorsWordEmptiesASiteGentlyAndStandsOverALoss() {
        sites.out(now, 1);
        assertEquals(1, sites.share(1, now), 0);
        now += S.gentle() / 2;
        assertEquals(0.5, sites.share(1, now), 0.01);
        fail(2, S.engines(), ZoneEvidence.NO_CONNECTION);
        fail(1, S.engines(), ZoneEvidence.NO_CONNECTION);
        answer(1);
        fail(2, 1, ZoneEvidence.NO_CONNECTION);
        answer(1);
        assertEquals("another site is lost meanwhile", State.LOST, sites.state(2));
        pass(S.gentle());
        assertEquals(State.OUT, sites.state(1));
        assertEquals(0, sites.share(1, now), 0);
        assertFalse("no trials go there", sites.tryNow(1, now));
        sites.in(now, 1);
        assertEquals(0.1, sites.share(1, now), 0);
    }
}
