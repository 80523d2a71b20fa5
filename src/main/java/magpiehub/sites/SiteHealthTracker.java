package magpiehub.sites;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import magpiehub.routing.ZoneEvidence;

/**
 * What one router holds of each site, a failure domain of the list with its engines and the paths to it:
 * whole, doubted, lost, returning by steps, or out by an operator's word. It owns the evidence for and
 * against a loss, and how much of its usual work a site may get meanwhile. A plain state machine: events in,
 * changes out, the clock and the seed as arguments. It must never call a site lost on this router's word
 * alone where the router may be the one that is cut off, nor because all are slow, and never choose an
 * engine.
 */
public final class SiteHealthTracker {
    /** How a site stands. */
    public enum State {
        WHOLE,
        DOUBTED,
        LOST,
        RETURNING,
        OUT
    }

    /** Why a state changed. */
    public enum Cause {
        NO_CONNECTION,
        SILENCE,
        ERRORS,
        SLOW,
        LIST,
        CUT_OFF,
        PASSED,
        ANSWERED,
        RAMPED,
        OPERATOR
    }

    /** One change of a state. */
    public record Change(int site, State from, State to, Cause cause, long at) {}

    /**
     * Times in microseconds.
     *
     * @param window how long evidence counts: a loss is one for which all of it came within this time
     * @param engines how many engines of a site must have failed, none answering, for the whole evidence; all
     *        of them where it has fewer. More than those that may be bad by themselves
     * @param slow the ratio of a first token's time to the usual one from which it is slow
     * @param trial the first gap between two trials of a lost site, for all routers together a trial each
     * @param longest the longest such gap, and the longest wait of a site that flaps
     * @param step how long a step of the return lasts at least
     * @param gentle how long an operator's word takes to empty a site
     * @param memory how long a site must be whole until its losses are forgotten
     * @param fresh the age from which a list says nothing of a loss
     */
    public record Settings(
            long window,
            int engines,
            double slow,
            long trial,
            long longest,
            long step,
            long gentle,
            long memory,
            long fresh) {
        /** What holds where a deployment says nothing: connections fail within 250 ms there. */
        public static final Settings USUAL =
                new Settings(2_000_000, 5, 4, 500_000, 16_000_000, 1_000_000, 3_000_000, 60_000_000, 10_000_000);
    }

    /** The parts of its usual work that a returning site gets, one step after the other. */
    private static final double[] STEPS = {0.1, 0.25, 0.5, 0.75};
    /** Engines that failed, none answering, from which a site is doubted, and the rest of the evidence is
     *  asked for by health checks: a router that sends little would wait long for it. */
    private static final int DOUBT = 2;
    /** An engine that answers with an error is there: so many, since some are bad by themselves. */
    private static final int DOUBT_ERRORS = 4;
    /** What a site gets that is doubted on less than the whole evidence. */
    private static final double DOUBTED_SHARE = 0.5;
    /** Part of the answers of a step that may be slow or failed. */
    private static final double TROUBLED = 0.25;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final class Site {
        State state = State.WHOLE;
        Cause cause = Cause.PASSED;
        /** Engines that failed since the last answer, and how; when the first and the last was told. */
        final Map<String, ZoneEvidence> failed = new LinkedHashMap<>();

        long firstFailure = NEVER;
        long lastFailure = NEVER;
        /** When the first and the last of those attempts were sent. */
        long firstSent = NEVER;

        long lastSent = NEVER;
        /** The last answer: when it came, and when its attempt was sent; the same of the last at the usual
         *  pace. */
        long answered = NEVER;

        long answeredSent = NEVER;
        long brisk = NEVER;
        long briskSent = NEVER;
        /** The witness for which one more failure was asked for, and when its attempt was sent. */
        long confirmed = NEVER;

        long failedAgain = NEVER;
        int slowInRow;
        int live = -1;
        long listedAt = NEVER;
        /** The whole evidence is there: nothing but trials goes to it. */
        boolean shut;
        /** Health checks asked for since the site began to fail. */
        int checks;

        long since = NEVER;
        long nextTrial;
        int trials;
        int losses;
        int step;
        long stepAt;
        int good;
        int bad;
        long outAt;

        /** When the attempt of its last answer was sent, or of its last at the usual pace. */
        long sent(boolean atUsualPace) {
            return atUsualPace ? briskSent : answeredSent;
        }
    }

    private final Settings s;
    private final int own;
    private final Site[] sites;
    private final List<Change> changes = new ArrayList<>();
    private final Map<Cause, Long> causes = new EnumMap<>(Cause.class);
    private final SplittableRandom random;

    /** Sites that are whole; {@code own} is the router's, -1 if it has none. */
    public SiteHealthTracker(Settings settings, int number, int own, long seed) {
        this.s = settings;
        this.own = own;
        this.random = new SplittableRandom(seed);
        this.sites = new Site[number];
        Arrays.setAll(sites, i -> new Site());
    }

    // ---- Questions ------------------------------------------------------------------------------------
    public State state(int site) {
        return sites[site].state;
    }

    public Cause cause(int site) {
        return sites[site].cause;
    }

    /** The step of a return, from 0. */
    public int step(int site) {
        return sites[site].step;
    }

    /** The part of its usual work that a site may get now; 0 leaves it to trials. */
    public double share(int site, long now) {
        Site x = sites[site];
        return switch (x.state) {
            case WHOLE -> 1;
            case DOUBTED -> x.shut ? 0 : DOUBTED_SHARE;
            case LOST -> 0;
            case RETURNING -> STEPS[x.step];
            case OUT -> Math.max(0, 1 - (double) (now - x.outAt) / Math.max(1, s.gentle));
        };
    }

    /** Whether one request may be sent as a trial to a site that gets nothing else. Taking it counts. */
    public boolean tryNow(int site, long now) {
        Site x = sites[site];
        if (x.state == State.OUT || share(site, now) > 0 || now < x.nextTrial) {
            return false;
        }
        x.trials++;
        x.nextTrial = now + gap(x);
        return true;
    }

    /** Longer with each trial and each earlier loss, up to a bound, and never the same for two routers. */
    private long gap(Site x) {
        long gap = s.trial << Math.min(20, x.trials + 2 * Math.max(0, x.losses - 1));
        return (long) (Math.min(s.longest, gap) * (0.75 + 0.5 * random.nextDouble()));
    }

    /** How many engines of a site are to be asked whether they live, other than those that failed; each is
     *  told by {@link #sign}. Taking them counts. A site is asked for while it is doubted, once; the others
     *  then as well, one engine each, for a witness. */
    public int checks(int site) {
        Site x = sites[site];
        int due = 0;
        if (x.state == State.WHOLE && x.failed.size() == 1 && kind(x) != Cause.ERRORS) {
            due = 1 - x.checks; // Where little is sent, the next request may be seconds away.
        } else if (x.state == State.DOUBTED && !x.shut && !x.failed.isEmpty()) {
            due = needed(x) + 1 - x.checks; // One of them may be an engine that failed before.
        } else if (x.state == State.DOUBTED && x.shut && witness(site) > x.confirmed) {
            x.confirmed = witness(site); // It answers: does this one fail still?
            return 1;
        } else if (x.state != State.OUT && site != own && x.failed.isEmpty()) {
            for (Site y : sites) {
                // Nobody but a third site can tell a loss from this router's own.
                due = y != x && y.shut && y.state == State.DOUBTED && x.answered < y.firstFailure && x.checks == 0
                        ? 1
                        : due;
            }
        }
        x.checks += Math.max(0, due);
        return Math.max(0, due);
    }

    /** Whether this router seems to be the one that is cut off: what fails it are all other sites. */
    public boolean cutOff() {
        return Arrays.stream(sites).anyMatch(x -> x.state == State.DOUBTED && x.cause == Cause.CUT_OFF);
    }

    /** The changes since the last call, in order. */
    public List<Change> changes() {
        List<Change> all = List.copyOf(changes);
        changes.clear();
        return all;
    }

    /** How often each cause has changed a state. */
    public Map<Cause, Long> causes() {
        return Map.copyOf(causes);
    }

    // ---- Events ---------------------------------------------------------------------------------------
    /** An attempt that was sent so long ago (us) has told something; {@code ratio} is its first token's time
     *  against the usual. */
    public void sign(long now, int site, String engine, ZoneEvidence sign, long took, double ratio) {
        Site x = sites[site];
        if (sign == ZoneEvidence.ANSWERED) {
            answered(now, now - took, site, ratio >= s.slow);
        } else {
            // A connection that ends under a request tells of an engine that is not there.
            failed(now, now - took, site, engine, sign == ZoneEvidence.BROKEN ? ZoneEvidence.NO_CONNECTION : sign);
        }
        judge(now);
    }

    /** The list names so many engines of a site that take work; it is so old (us). */
    public void listed(long now, int site, int live, long age) {
        Site x = sites[site];
        boolean back = x.live == 0 && live > 0;
        x.live = live;
        x.listedAt = now - age;
        if (back && x.state == State.LOST) {
            x.nextTrial = Math.min(x.nextTrial, now + gap(x) / 4); // New engines are worth an early trial.
        }
        judge(now);
    }

    /** An operator gives a site up, or takes it back. */
    public void out(long now, int site) {
        Site x = sites[site];
        if (x.state != State.OUT) {
            x.outAt = now - (long) ((1 - share(site, now)) * s.gentle); // Never more than it has now.
            change(now, site, State.OUT, Cause.OPERATOR);
        }
    }

    /** See {@link #out}. */
    public void in(long now, int site) {
        if (sites[site].state == State.OUT) {
            forget(sites[site]);
            returning(now, site, Cause.OPERATOR);
        }
    }

    /** Time has passed. */
    public void tick(long now) {
        judge(now);
    }

    // ---- Evidence -------------------------------------------------------------------------------------
    private void answered(long now, long sent, int site, boolean slow) {
        Site x = sites[site];
        x.answered = now;
        x.answeredSent = sent;
        x.brisk = slow ? x.brisk : now;
        x.briskSent = slow ? x.briskSent : sent;
        x.slowInRow = slow ? x.slowInRow + 1 : 0;
        x.good += slow ? 0 : 1;
        x.bad += slow ? 1 : 0;
        boolean shut = x.shut;
        forget(x);
        if (x.state == State.LOST || (x.state == State.DOUBTED && shut && now - x.since > s.step)) {
            // It has been without work for a while: what it kept is gone, or everybody comes back at once.
            returning(now, site, Cause.ANSWERED);
        } else if (x.state == State.DOUBTED && (x.cause != Cause.SLOW || !slow) && !unlisted(x, now)) {
            change(now, site, State.WHOLE, Cause.ANSWERED);
        }
    }

    private static void forget(Site x) {
        x.failed.clear();
        x.checks = 0;
        x.failedAgain = NEVER;
        x.firstFailure = NEVER;
        x.shut = false;
    }

    private void failed(long now, long sent, int site, String engine, ZoneEvidence sign) {
        Site x = sites[site];
        if (x.failed.values().stream().anyMatch(k -> (k == ZoneEvidence.ERROR) != (sign == ZoneEvidence.ERROR))) {
            forget(x); // Who answers with an error can be reached: the two don't add up.
        }
        if (x.firstFailure == NEVER) {
            x.firstFailure = now;
            x.firstSent = sent;
            x.lastSent = sent;
        }
        x.lastFailure = now;
        x.lastSent = Math.max(x.lastSent, sent);
        x.failed.put(engine, sign);
        x.bad++;
    }

    /** What the evidence against a site comes to: its commonest kind. */
    private static Cause kind(Site x) {
        int[] n = new int[ZoneEvidence.values().length];
        x.failed.values().forEach(k -> n[k.ordinal()]++);
        return n[ZoneEvidence.NO_CONNECTION.ordinal()] >= n[ZoneEvidence.SILENCE.ordinal()]
                        && n[ZoneEvidence.NO_CONNECTION.ordinal()] >= n[ZoneEvidence.ERROR.ordinal()]
                ? Cause.NO_CONNECTION
                : n[ZoneEvidence.SILENCE.ordinal()] >= n[ZoneEvidence.ERROR.ordinal()] ? Cause.SILENCE : Cause.ERRORS;
    }

    /** Engines that must have failed for the whole evidence. */
    private int needed(Site x) {
        return x.live > 0 ? Math.min(s.engines, x.live) : s.engines;
    }

    /** When another site than the router's own answered, to an attempt sent after this one began to fail: the
     *  paths out of here work. Of silence only an answer at the usual pace tells, since all may be slow. */
    private long witness(int site) {
        Site x = sites[site];
        boolean brisk = kind(x) != Cause.NO_CONNECTION;
        long latest = NEVER;
        for (int i = 0; i < sites.length; i++) {
            Site y = sites[i];
            if (i != site && i != own && y.sent(brisk) >= x.firstSent) {
                latest = Math.max(latest, brisk ? y.brisk : y.answered);
            }
        }
        return latest;
    }

    /** It fails, another answers, it fails again, another answers again, all of it within the window: a cut
     *  of this router's own that ends lets all answer, one after the other, and the first of them must not
     *  speak against the rest; nor may one that spoke before the next cut. */
    private boolean witnessed(int site) {
        Site x = sites[site];
        long w = witness(site);
        if (w == NEVER) {
            return false;
        }
        if (x.failedAgain == NEVER && x.lastSent >= w && x.lastSent - w <= s.window) {
            x.failedAgain = x.lastSent;
        }
        if (x.failedAgain == NEVER) {
            return false;
        }
        boolean brisk = kind(x) != Cause.NO_CONNECTION;
        for (int i = 0; i < sites.length; i++) {
            long sent = sites[i].sent(brisk);
            if (i != site && i != own && sent >= x.failedAgain && sent - x.failedAgain <= s.window) {
                return true;
            }
        }
        if (w - x.failedAgain > s.window) {
            x.failedAgain = NEVER; // The second answer came too late for the first: from the beginning.
        }
        return false;
    }

    /** Whether other sites fail at the same time, none but the own one answering. */
    private boolean alone(int site) {
        for (int i = 0; i < sites.length; i++) {
            Site y = sites[i];
            if (i != site && i != own && y.state != State.OUT && !y.failed.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private boolean sharedSlowness(int site, long now) {
        for (int i = 0; i < sites.length; i++) {
            if (i != site && now - sites[i].brisk <= s.window && sites[i].slowInRow == 0) {
                return false;
            }
        }
        return true;
    }

    private void judge(long now) {
        for (int i = 0; i < sites.length; i++) {
            if (sites[i].state != State.OUT) {
                judge(now, i);
            }
        }
    }

    /** Whether a list that is fresh enough names none of a site's engines. */
    private boolean unlisted(Site x, long now) {
        return x.live == 0 && now - x.listedAt <= s.fresh;
    }

    private void judge(long now, int site) {
        Site x = sites[site];
        boolean unlisted = unlisted(x, now);
        if (x.state == State.RETURNING && unlisted) {
            // A list that comes late tells of the loss that is over; nothing can be sent until it tells more.
            x.step = 0;
            begin(now, x);
        } else if (x.state != State.LOST && unlisted && now - x.answered > s.window) {
            lose(now, site, Cause.LIST);
            return;
        }
        if (x.firstFailure != NEVER && now - x.lastFailure > s.window && !x.shut) {
            forget(x); // Old evidence, and too little of it.
        }
        int failed = x.failed.size();
        if (x.state != State.LOST && failed >= needed(x)) {
            if (!x.shut) {
                x.shut = true;
                x.since = now;
                x.trials = 0;
                x.nextTrial = now + gap(x);
            }
            if (witnessed(site) || unlisted) {
                lose(now, site, unlisted ? Cause.LIST : kind(x));
                return;
            }
            Cause why = alone(site) ? Cause.CUT_OFF : kind(x);
            if (x.state != State.DOUBTED) {
                change(now, site, State.DOUBTED, why);
            }
            x.cause = why;
        } else if (x.state == State.WHOLE
                && (unlisted
                        || failed >= (kind(x) == Cause.ERRORS ? DOUBT_ERRORS : DOUBT)
                        || (x.slowInRow >= s.engines && !sharedSlowness(site, now)))) {
            change(now, site, State.DOUBTED, unlisted ? Cause.LIST : failed > 0 ? kind(x) : Cause.SLOW);
        } else if (x.state == State.DOUBTED
                && !x.shut
                && !unlisted
                && failed == 0
                && (x.cause != Cause.SLOW || x.slowInRow == 0 || sharedSlowness(site, now))) {
            change(now, site, State.WHOLE, Cause.PASSED);
        } else if (x.state == State.RETURNING) {
            ramp(now, site);
        } else if (x.state == State.WHOLE && x.losses > 0 && now - x.since > s.memory) {
            x.losses = 0;
        }
    }

    private void lose(long now, int site, Cause why) {
        Site x = sites[site];
        x.losses++;
        x.shut = true;
        x.trials = 0;
        x.nextTrial = now + gap(x);
        change(now, site, State.LOST, why);
    }

    // ---- The return -----------------------------------------------------------------------------------
    private void returning(long now, int site, Cause why) {
        Site x = sites[site];
        x.step = 0;
        begin(now, x);
        change(now, site, State.RETURNING, why);
    }

    private static void begin(long now, Site x) {
        x.stepAt = now;
        x.good = 0;
        x.bad = 0;
    }

    /** A step forward once it has lasted and gone well, one back as soon as it goes badly. */
    private void ramp(long now, int site) {
        Site x = sites[site];
        int n = x.good + x.bad;
        if (n >= 4 && x.bad > TROUBLED * n && !allSlow(site, now)) {
            x.step = Math.max(0, x.step - 1);
            begin(now, x);
            return;
        }
        long lasts = Math.min(s.longest, s.step << Math.min(10, Math.max(0, x.losses - 1)));
        // A step in which nothing went there has shown nothing; it is believed in the end all the same.
        if (now - x.stepAt >= (x.good > 0 ? lasts : 3 * lasts) && x.failed.isEmpty()) {
            begin(now, x);
            if (++x.step == STEPS.length) {
                x.step = STEPS.length - 1;
                change(now, site, State.WHOLE, Cause.RAMPED);
            }
        }
    }

    private boolean allSlow(int site, long now) {
        return sites[site].failed.isEmpty() && sharedSlowness(site, now);
    }

    private void change(long now, int site, State to, Cause why) {
        Site x = sites[site];
        changes.add(new Change(site, x.state, to, why, now));
        causes.merge(why, 1L, Long::sum);
        x.state = to;
        x.cause = why;
        if (to == State.WHOLE || to == State.LOST) {
            x.since = now;
        }
    }
}
