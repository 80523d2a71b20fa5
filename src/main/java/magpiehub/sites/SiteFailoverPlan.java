package magpiehub.sites;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Milliseconds;
import magpiehub.routing.ZoneEvidence;
import magpiehub.routing.ZoneHealth;
import magpiehub.telemetry.EventLog;

/**
 * The plan for the loss of a site, where {@code deploy/site.json} asks for it: the zones that the decision
 * module
 * asks about are sites of {@link SiteHealthTracker}. It owns the file's names, the log lines and the figures. All but the
 * operators' word and the figures is the module's thread's; it must never choose a replica.
 */
public final class SiteFailoverPlan implements ZoneHealth {
    /** What a file may set; all of it has a default. */
    private static final Set<String> KEYS =
            Set.of("windowMs", "engines", "slow", "trialMs", "longestMs", "stepMs", "gentleMs", "memoryMs", "freshMs");

    private final SiteHealthTracker.Settings settings;
    private final long seed;
    private final int own;
    private final EventLog journal;
    private final List<String> names;
    private SiteHealthTracker sites;
    private long[] shutSince;
    /** Sites that operators have given up, by name; and how each stands, for whoever asks. */
    private final Set<String> out = ConcurrentHashMap.newKeySet();

    private final Map<String, String> standing = new ConcurrentHashMap<>();

    /** {@code names} are the zones of the list in their order, {@code own} this router's. */
    public SiteFailoverPlan(
            SiteHealthTracker.Settings settings, List<String> names, int own, long seed, EventLog journal) {
        this.settings = settings;
        this.names = List.copyOf(names);
        names.forEach(n -> standing.put(n, word(SiteHealthTracker.State.WHOLE)));
        this.own = own;
        this.seed = seed;
        this.journal = journal;
    }

    /** What a file says; null if there is none, and then nothing is planned. */
    public static SiteHealthTracker.Settings read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ConfigurationObject f = ConfigurationObject.parse(
                Files.readAllBytes(file), file.getFileName().toString());
        for (String k : f.map().keySet()) {
            if (!KEYS.contains(k)) {
                throw new ConfigurationException(f.path() + "." + k + " is not known");
            }
        }
        SiteHealthTracker.Settings u = SiteHealthTracker.Settings.USUAL;
        return new SiteHealthTracker.Settings(
                time(f, "windowMs", u.window()),
                (int) above(f, "engines", u.engines()),
                above(f, "slow", u.slow()),
                time(f, "trialMs", u.trial()),
                time(f, "longestMs", u.longest()),
                time(f, "stepMs", u.step()),
                time(f, "gentleMs", u.gentle()),
                time(f, "memoryMs", u.memory()),
                time(f, "freshMs", u.fresh()));
    }

    private static long time(ConfigurationObject f, String key, long absent) {
        return Milliseconds.toMicros(above(f, key, absent / 1000.0));
    }

    private static double above(ConfigurationObject f, String key, double absent) {
        double v = f.number(key, absent);
        if (!(v >= 1) || v > 1e9) {
            throw new ConfigurationException(f.path() + "." + key + " must be a number from 1 to 1e9");
        }
        return v;
    }

    // ---- The module's thread --------------------------------------------------------------------------
    @Override
    public void number(int zones) {
        if (sites == null) {
            sites = new SiteHealthTracker(settings, zones, own, seed);
            shutSince = new long[zones];
            java.util.Arrays.fill(shutSince, Long.MAX_VALUE);
        }
    }

    /** Zones that a later file adds are the module's, and never called lost. */
    private boolean knows(int zone) {
        return zone < shutSince.length;
    }

    @Override
    public void told(long now, int zone, String replica, ZoneEvidence sign, long took, double ratio) {
        if (knows(zone)) {
            sites.sign(now, zone, replica, sign, took, ratio);
            look(now);
        }
    }

    @Override
    public void fresh(String replica) {}

    @Override
    public void listed(long now, int zone, int live) {
        if (knows(zone)) {
            sites.listed(now, zone, live, 0);
            look(now);
        }
    }

    @Override
    public boolean takes(long now, int zone, double place) {
        return !knows(zone) || place < sites.share(zone, now);
    }

    @Override
    public long shutSince(int zone) {
        return knows(zone) ? shutSince[zone] : Long.MAX_VALUE;
    }

    @Override
    public boolean tries(long now, int zone) {
        return knows(zone) && sites.tryNow(zone, now);
    }

    @Override
    public int checks(int zone) {
        return knows(zone) ? sites.checks(zone) : 0;
    }

    @Override
    public boolean plans() {
        return true;
    }

    @Override
    public void tick(long now) {
        for (int i = 0; i < names.size() && i < shutSince.length; i++) {
            if (out.contains(names.get(i))) {
                sites.out(now, i);
            } else {
                sites.in(now, i);
            }
        }
        sites.tick(now);
        look(now);
        for (int i = 0; i < shutSince.length; i++) {
            standing.put(name(i), standing(i, now));
        }
    }

    private void look(long now) {
        for (SiteHealthTracker.Change c : sites.changes()) {
            String name = name(c.site());
            journal.count("site_" + c.to().name().toLowerCase(Locale.ROOT));
            journal.log(
                    "site",
                    "name",
                    name,
                    "from",
                    word(c.from()),
                    "to",
                    word(c.to()),
                    "cause",
                    c.cause().name().toLowerCase(Locale.ROOT));
        }
        for (int i = 0; i < shutSince.length; i++) {
            shutSince[i] = sites.share(i, now) > 0 ? Long.MAX_VALUE : Math.min(shutSince[i], now);
        }
    }

    private String standing(int i, long now) {
        SiteHealthTracker.State s = sites.state(i);
        return word(s)
                + (s == SiteHealthTracker.State.WHOLE
                        ? ""
                        : " share=" + Math.round(100 * sites.share(i, now)) + "% cause="
                                + sites.cause(i).name().toLowerCase(Locale.ROOT));
    }

    private static String word(SiteHealthTracker.State s) {
        return s.name().toLowerCase(Locale.ROOT);
    }

    private String name(int site) {
        return site < names.size() ? names.get(site) : Integer.toString(site);
    }

    // ---- Any thread -----------------------------------------------------------------------------------
    /** The sites that operators have given up from now on; the module follows at its next turn. */
    public void out(Set<String> given) {
        out.retainAll(given);
        out.addAll(given);
    }

    /** The sites that there are. */
    public List<String> names() {
        return names;
    }

    /** How each site stands. */
    public Map<String, String> standing() {
        return new TreeMap<>(standing);
    }

    /** The same as lines for the counters. */
    public String figures() {
        StringBuilder b = new StringBuilder();
        standing().forEach((name, how) -> b.append("site_" + name + " " + how + "\n"));
        return b.toString();
    }
}
