package magpiehub.routing;

/**
 * Finds the affinity entry of a request, by its shared prefix or its session, and over how many replicas the key is
 * spread: as many as its share of this router's traffic needs.
 */
final class AffinityResolver {
    /** A key gets this many times the replicas that its share of the traffic would fill. */
    private static final double SPREAD_FACTOR = 4;

    /** Requests of one session, decayed, from which it is a hot key: no conversation comes that often. */
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

    /** Sets a request's affinity entry, if it has a key; returns the number of replicas that the key is spread over. */
    int resolve(RequestInFlight request, long now) {
        long prefixId = request.request().prefixId();
        long sessionId = request.request().sessionId();
        if (prefixId != 0) {
            AffinityEntry entry = table.usePrefix(prefixId, now);
            entry.recordRequest(now);
            double needed = neededReplicas(entry);
            // A prefix too heavy for one entry is cached everywhere; the session's own tokens decide.
            if (needed <= AffinityEntry.MAX_REPLICAS || sessionId == 0) {
                request.setAffinityEntry(entry);
                return width(entry, needed);
            }
        }
        return sessionId != 0 ? resolveSession(request, sessionId, now) : 1;
    }

    private int resolveSession(RequestInFlight request, long sessionId, long now) {
        AffinityEntry entry = table.useSession(sessionId, now);
        entry.recordRequest(now);
        request.setAffinityEntry(entry);
        // A hot key would overload the one replica that it lives on.
        return entry.demand() > HOT_SESSION_DEMAND ? width(entry, neededReplicas(entry)) : 1;
    }

    /** Replicas that the key's share of this router's traffic would keep cached. */
    private double neededReplicas(AffinityEntry entry) {
        return traffic.isEstablished()
                ? SPREAD_FACTOR * entry.demand() / traffic.requestCount() * fleet.readyCount()
                : Double.MAX_VALUE;
    }

    private int width(AffinityEntry entry, double needed) {
        int onRing = zoneAffinity.ringFor(entry.ringPosition()).replicaCount();
        double part = (double) onRing / Math.max(1, fleet.readyCount());
        return (int) Math.max(1, Math.min(Math.min(AffinityEntry.MAX_REPLICAS, onRing), Math.ceil(needed * part)));
    }
}
