package magpiehub.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import magpiehub.routing.ZoneEvidence;
import magpiehub.sites.SiteFailoverSettings;
import magpiehub.sites.SiteHealthTracker;
import magpiehub.sites.SiteState;
import magpiehub.sites.SiteTransition;

/**
 * Simulates the site health trackers of many routers in virtual time under random site losses: some engines fail on
 * their own; a site fails at once, stops responding, is cut off together with its routers, or slows down; the endpoint
 * list reports this late; the site returns and is often lost again. Compares the trackers with the simulated truth.
 * Results depend only on the seed, not on the number of threads.
 */
final class SiteFailoverSimulation {
    /** The fault that affects the site. */
    enum Fault {
        KILLED,
        SILENT,
        CUT,
        SLOW,
        ALL_SLOW,
        NONE
    }

    private static final SiteFailoverSettings S = SiteFailoverSettings.DEFAULTS;
    private static final int ROUTERS = 100;
    private static final int ENGINES = 100;
    private static final long TICK = 50_000;
    private static final long CONNECT = 250_000;
    private static final long SILENCE = 1_000_000;

    /** The sums over scenarios and routers. */
    static final class Result {
        long digest = 1;
        int lostWrongly;
        int notSeen;
        int seen;
        int mostChanges;
        final List<Long> times = new ArrayList<>();

        void add(Result r) {
            digest = digest * 31 + r.digest;
            lostWrongly += r.lostWrongly;
            notSeen += r.notSeen;
            seen += r.seen;
            mostChanges = Math.max(mostChanges, r.mostChanges);
            times.addAll(r.times);
        }

        long at(double part) {
            long[] all = times.stream().mapToLong(Long::longValue).sorted().toArray();
            return all.length == 0 ? 0 : all[(int) Math.min(all.length - 1, part * all.length)];
        }
    }

    private record Due(long at, long sent, int site, String engine, ZoneEvidence sign, double ratio) {}

    /** One scenario, shared by all routers and derived from the seed alone. */
    private static final class Scenario {
        final int sites;
        final Fault fault;
        final int site;
        final long from;
        final long until;
        final long again;
        final double badPart;
        final long listLate;
        final long end;

        Scenario(SplittableRandom r) {
            sites = r.nextInt(3, 9);
            fault = Fault.values()[r.nextInt(Fault.values().length)];
            site = r.nextInt(sites);
            from = 4_000_000 + r.nextLong(2_000_000);
            until = from + 3_000_000 + r.nextLong(6_000_000);
            // In half of the scenarios the site is lost again halfway through its ramp-up.
            again = r.nextBoolean() ? until + 2 * S.rampStepMicros() : Long.MAX_VALUE;
            badPart = r.nextDouble(0.12);
            listLate = r.nextLong(500_000, 8_000_000);
            end = until + 14_000_000;
        }

        boolean down(long t) {
            return (t >= from && t < until) || (again != Long.MAX_VALUE && t >= again && t < again + 3_000_000);
        }

        /** Whether a router at one site cannot reach another site. */
        boolean fails(int router, int to, long t) {
            return down(t)
                    && switch (fault) {
                        case KILLED, SILENT -> to == site;
                        case CUT -> (router == site) != (to == site);
                        default -> false;
                    };
        }
    }

    private SiteFailoverSimulation() {}

    private static Result play(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        Scenario c = new Scenario(r);
        Result all = new Result();
        for (int i = 0; i < ROUTERS; i++) {
            all.add(router(c, i % c.sites, r.split()));
        }
        return all;
    }

    @SuppressWarnings("EnumOrdinal") // The digest is compared with a recorded value that is based on ordinals.
    private static Result router(Scenario c, int own, SplittableRandom r) {
        Result result = new Result();
        SiteHealthTracker m = new SiteHealthTracker(S, c.sites, own, r.nextLong());
        // 1 to 30 requests per second and router.
        double perTick = r.nextDouble(1, 30) * TICK / 1e6;
        List<Due> due = new ArrayList<>();
        int[] changes = new int[c.sites];
        long shutAt = -1;
        long touched = -1;
        boolean gone = false;
        boolean truth = c.fault == Fault.KILLED || c.fault == Fault.SILENT;
        for (long now = 0; now < c.end; now += TICK) {
            long t = now;
            for (int site = 0; site < c.sites; site++) {
                for (int k = m.takeHealthChecks(site); k > 0; k--) {
                    send(c, own, site, t, r, due);
                }
                if (m.takeTrial(site, t)) {
                    send(c, own, site, t, r, due);
                }
            }
            for (double left = perTick; left > 0 && r.nextDouble() < left; left--) {
                int site = r.nextInt(c.sites);
                if (r.nextDouble() < m.share(site, t) && !(gone && site == c.site)) {
                    send(c, own, site, t, r, due);
                }
            }
            for (Due d : due) {
                // A router cannot detect the loss before it has sent a request to the site.
                touched = touched < 0 && d.site == c.site && d.sent >= c.from && d.sent < c.until ? d.sent : touched;
            }
            if (now % 1_000_000 == 0) {
                gone = truth && c.down(t - c.listLate);
                m.onListed(t, c.site, gone ? 0 : ENGINES / c.sites, 100_000);
            }
            for (Due d : due) {
                if (d.at <= t) {
                    m.onEvidence(t, d.site, d.engine, d.sign, t - d.sent, d.ratio);
                }
            }
            due.removeIf(d -> d.at <= t);
            m.onTick(t);
            for (SiteTransition ch : m.takeTransitions()) {
                // Ordinals, because the hash codes of enum constants differ between processes.
                result.digest = result.digest * 31
                        + java.util.Objects.hash(
                                ch.site(),
                                ch.from().ordinal(),
                                ch.to().ordinal(),
                                ch.cause().ordinal(),
                                ch.atMicros());
                changes[ch.site()]++;
                boolean right = (truth && ch.site() == c.site)
                        || (c.fault == Fault.CUT && ch.site() == c.site && own != c.site);
                result.lostWrongly += ch.to() == SiteState.LOST && !right ? 1 : 0;
            }
            boolean hit = truth ? true : c.fault == Fault.CUT && own != c.site;
            if (hit && shutAt < 0 && touched >= 0 && t < c.until && m.share(c.site, t) == 0) {
                shutAt = t - touched;
                result.times.add(shutAt);
            }
            if (hit && t >= c.until && t < c.until + TICK) {
                result.seen += shutAt >= 0 ? 1 : 0;
                result.notSeen += shutAt >= 0 || touched < 0 || t - touched < 3_000_000 ? 0 : 1;
            }
        }
        for (int n : changes) {
            result.mostChanges = Math.max(result.mostChanges, n);
        }
        return result;
    }

    private static void send(Scenario c, int own, int to, long t, SplittableRandom r, List<Due> due) {
        int engine = r.nextInt(Math.max(1, ENGINES / c.sites));
        String id = to + "." + engine;
        if (c.fails(own, to, t)) {
            boolean silent = c.fault == Fault.SILENT;
            due.add(new Due(
                    t + (silent ? SILENCE : CONNECT),
                    t,
                    to,
                    id,
                    silent ? ZoneEvidence.SILENCE : ZoneEvidence.NO_CONNECTION,
                    0));
        } else if (engine < c.badPart * ENGINES / c.sites) {
            due.add(new Due(t + 20_000, t, to, id, ZoneEvidence.ERROR, 0));
        } else {
            boolean slow = c.down(t) && (c.fault == Fault.ALL_SLOW || (c.fault == Fault.SLOW && to == c.site));
            double ratio =
                    slow ? 2.9 * (0.5 + r.nextDouble()) * (c.fault == Fault.SLOW ? 10 : 1) : 0.5 + r.nextDouble();
            due.add(new Due(t + (long) (100_000 * ratio), t, to, id, ZoneEvidence.ANSWERED, ratio));
        }
    }

    /** Runs scenarios on a thread pool. */
    static Result play(long seed, int scenarios, int threads) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Result>> all = new ArrayList<>();
            for (int i = 0; i < scenarios; i++) {
                long own = seed * 1_000_003 + i;
                all.add(pool.submit(() -> play(own)));
            }
            Result sum = new Result();
            for (Future<Result> f : all) {
                sum.add(f.get());
            }
            return sum;
        } finally {
            pool.shutdown();
        }
    }

    static String line(long seed, int scenarios, Result r) {
        return String.format(
                Locale.ROOT,
                "drive sites seed=%d scenarios=%d routers=%d lost_wrongly=%d "
                        + "seen=%d not_seen=%d shut_after_ms=%d/%d/%d most_changes=%d digest=%016x",
                seed,
                scenarios,
                ROUTERS,
                r.lostWrongly,
                r.seen,
                r.notSeen,
                r.at(0.5) / 1000,
                r.at(0.99) / 1000,
                r.at(1) / 1000,
                r.mostChanges,
                r.digest);
    }
}
