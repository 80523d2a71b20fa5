package magpiehub.sites;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.routing.ZoneEvidence;
import magpiehub.routing.ZoneHealth;
import magpiehub.telemetry.EventLog;

/**
 * Site failover as a {@link ZoneHealth} of the routing policy: each zone is a site of a {@link SiteHealthTracker}. Also
 * logs and counts the transitions of sites, and carries out withdrawals by operators.
 *
 * <p>The methods of {@link ZoneHealth} are called by the routing thread only. Those for operators and metrics may be
 * called from any thread; a withdrawal takes effect at the next {@link #advance}.
 */
public final class SiteFailover implements ZoneHealth {
    /** The result of {@link #closedSince} for a site that receives more than trials. */
    private static final long NOT_SUSPENDED = Long.MAX_VALUE;

    private final SiteFailoverSettings settings;
    private final long seed;
    private final int ownSite;
    private final EventLog log;
    private final List<String> siteNames;
    /** Null until the number of zones is known. */
    private SiteHealthTracker tracker;
    /** Since when each site receives trials only, or {@link #NOT_SUSPENDED}. */
    private long[] suspendedSince;

    /** The names of the sites that operators have withdrawn. */
    private final Set<String> withdrawnSites = ConcurrentHashMap.newKeySet();

    /** The status of each site by its name, as of the last {@link #advance}. */
    private final Map<String, String> siteStatus = new ConcurrentHashMap<>();

    /**
     * Creates a failover whose sites are all healthy.
     *
     * @param siteNames the zones of the router configuration, in their order
     * @param ownSite the index of the router's own site, -1 if it has none
     */
    public SiteFailover(SiteFailoverSettings settings, List<String> siteNames, int ownSite, long seed, EventLog log) {
        this.settings = settings;
        this.siteNames = List.copyOf(siteNames);
        for (String name : siteNames) {
            siteStatus.put(name, SiteState.HEALTHY.label());
        }
        this.ownSite = ownSite;
        this.seed = seed;
        this.log = log;
    }

    // ---- Routing thread -------------------------------------------------------------------------------

    @Override
    public void setZoneCount(int zones) {
        if (tracker == null) {
            tracker = new SiteHealthTracker(settings, zones, ownSite, seed);
            suspendedSince = new long[zones];
            Arrays.fill(suspendedSince, NOT_SUSPENDED);
        }
    }

    /** Whether the tracker has the zone as a site. Zones that a reload adds are not tracked, and never lost. */
    private boolean isTracked(int zone) {
        return zone < suspendedSince.length;
    }

    @Override
    public void recordEvidence(
            long now, int zone, String replica, ZoneEvidence evidence, long elapsedMicros, double latencyRatio) {
        if (isTracked(zone)) {
            tracker.onEvidence(now, zone, replica, evidence, elapsedMicros, latencyRatio);
            publishTransitions(now);
        }
    }

    @Override
    public void forgetReplica(String replica) {}

    @Override
    public void setReplicaCount(long now, int zone, int replicas) {
        if (isTracked(zone)) {
            tracker.onEndpointList(now, zone, replicas, 0);
            publishTransitions(now);
        }
    }

    @Override
    public boolean accepts(long now, int zone, double position) {
        return !isTracked(zone) || position < tracker.share(zone, now);
    }

    @Override
    public long closedSince(int zone) {
        return isTracked(zone) ? suspendedSince[zone] : NOT_SUSPENDED;
    }

    @Override
    public boolean acquireTrial(long now, int zone) {
        return isTracked(zone) && tracker.acquireTrial(zone, now);
    }

    @Override
    public int acquireHealthChecks(int zone) {
        return isTracked(zone) ? tracker.acquireHealthChecks(zone) : 0;
    }

    @Override
    public boolean plansFailover() {
        return true;
    }

    @Override
    public void advance(long now) {
        for (int site = 0; site < siteNames.size() && site < suspendedSince.length; site++) {
            if (withdrawnSites.contains(siteNames.get(site))) {
                tracker.withdraw(now, site);
            } else {
                tracker.reinstate(now, site);
            }
        }
        tracker.onTick(now);
        publishTransitions(now);
        for (int site = 0; site < suspendedSince.length; site++) {
            siteStatus.put(name(site), describe(site, now));
        }
    }

    private void publishTransitions(long now) {
        for (SiteTransition transition : tracker.drainTransitions()) {
            log.count("site_" + transition.to().label());
            log.log(
                    "site",
                    "name",
                    name(transition.site()),
                    "from",
                    transition.from().label(),
                    "to",
                    transition.to().label(),
                    "cause",
                    transition.cause().label());
        }
        for (int site = 0; site < suspendedSince.length; site++) {
            boolean receivesTraffic = tracker.share(site, now) > 0;
            suspendedSince[site] = receivesTraffic ? NOT_SUSPENDED : Math.min(suspendedSince[site], now);
        }
    }

    private String describe(int site, long now) {
        SiteState state = tracker.state(site);
        if (state == SiteState.HEALTHY) {
            return state.label();
        }
        long percent = Math.round(100 * tracker.share(site, now));
        return state.label() + " share=" + percent + "% cause="
                + tracker.cause(site).label();
    }

    private String name(int site) {
        return site < siteNames.size() ? siteNames.get(site) : Integer.toString(site);
    }

    // ---- Any thread -----------------------------------------------------------------------------------

    /** Sets which sites are withdrawn from service, by name; all others are returned to service. */
    public void setWithdrawnSites(Set<String> names) {
        withdrawnSites.retainAll(names);
        withdrawnSites.addAll(names);
    }

    /** The names of all sites. */
    public List<String> siteNames() {
        return siteNames;
    }

    /** The status of each site by its name: its state and, unless it is healthy, its share of traffic and the cause. */
    public Map<String, String> siteStatus() {
        return new TreeMap<>(siteStatus);
    }

    /** The status of all sites as lines of the metrics page. */
    public String metrics() {
        StringBuilder lines = new StringBuilder();
        siteStatus().forEach((name, status) -> lines.append("site_" + name + " " + status + "\n"));
        return lines.toString();
    }
}
