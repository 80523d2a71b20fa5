package magpiehub.routing;

/**
 * Finds the affinity entry of a request by its shared prefix or its session, and computes over how many replicas the
 * key is spread from its share of this router's traffic.
 */
final class AffinityResolver {
    /** Ratio of the replicas that a key is spread over to those that its share of the traffic would fill. */
    private static final double SPREAD_FACTOR = 4;

    /** Decayed request count above which a session is a hot key; a single conversation does not reach it. */
    private static final double HOT_SESSION_DEMAND = 5;

    private final AffinityTable table;
    private final FleetState fleet;
    private final ZoneAffinity zoneAffinity;
    private final TrafficMeter traffic;

    AffinityResolver(AffinityTable table, FleetState fleet, ZoneAffinity zoneAffinity, TrafficMeter traffic) {
        this.table = table;
        this.fleet = fleet;
        this.zoneAffinity = zoneAffinity;
        this.traffic = traffic;
    }

    /** Sets a request's affinity entry if it has a key. Returns the number of replicas that the key is spread over. */
    int resolve(RequestInFlight request, long now) {
        long prefixId = request.request().prefixId();
        long sessionId = request.request().sessionId();
        if (prefixId != 0) {
            AffinityEntry entry = table.usePrefix(prefixId, now);
            entry.recordRequest(now);
            double needed = neededReplicas(entry);
            // A prefix with too much traffic for one entry is cached everywhere, so the session's tokens decide.
            if (needed <= AffinityEntry.MAX_REPLICAS || sessionId == 0) {
                request.setAffinityEntry(entry);
                return targetReplicaCount(entry, needed);
            }
        }
        return sessionId != 0 ? resolveSession(request, sessionId, now) : 1;
    }

    private int resolveSession(RequestInFlight request, long sessionId, long now) {
        AffinityEntry entry = table.useSession(sessionId, now);
        entry.recordRequest(now);
        request.setAffinityEntry(entry);
        // A hot key would overload a single replica.
        return entry.demand() > HOT_SESSION_DEMAND ? targetReplicaCount(entry, neededReplicas(entry)) : 1;
    }

    /** Returns how many replicas the key's share of this router's traffic needs. */
    private double neededReplicas(AffinityEntry entry) {
        return traffic.isReliable()
                ? SPREAD_FACTOR * entry.demand() / traffic.requestCount() * fleet.readyCount()
                : Double.MAX_VALUE;
    }

    private int targetReplicaCount(AffinityEntry entry, double needed) {
        int replicasOnRing = zoneAffinity.ringFor(entry.ringPosition()).replicaCount();
        double ringFraction = (double) replicasOnRing / Math.max(1, fleet.readyCount());
        return (int) Math.max(
                1, Math.min(Math.min(AffinityEntry.MAX_REPLICAS, replicasOnRing), Math.ceil(needed * ringFraction)));
    }
}
