package magpiehub.routing;

/**
 * Selects the replica of an attempt. In order of preference: one that has the affinity key's tokens cached, the next
 * one with capacity on the ring from the key's position, a busy one that has the tokens cached, any that is allowed.
 */
final class ReplicaSelector {
    /** Maximum number of replicas examined on a ring, and of affinity entries examined in the fallback. */
    private static final int MAX_STEPS = 6;

    /** Maximum number of replicas examined from a random start before selection fails. */
    private static final int MAX_LAST_RESORT_STEPS = 4 * MAX_STEPS;

    /** Affinity entries that a replica can serve from its cache, over all routers; each router uses an equal share. */
    private static final int CACHED_KEYS_PER_REPLICA = 512;

    /** Lower bound of a router's share of these entries. */
    private static final int MIN_CACHED_KEYS = 16;

    /** Makes a conversation's position in a zone's traffic independent of its other hashes. */
    private static final long ZONE_POSITION_SALT = 0x51ab3c7d90e2f614L;

    private final ActiveSettings settings;
    private final FleetState fleet;
    private final ZoneHealth zones;
    private final AffinityTable affinityTable;
    private final ZoneAffinity zoneAffinity;
    private final Mechanisms mechanisms;
    private final SplitMix64 random;
    /** Counter from which ring positions of requests without a key are derived, which spreads them over the fleet. */
    private long keylessRequestCount;
    /** Position of the current request in a zone's traffic, from 0 to 1; the same for a whole conversation. */
    private double zonePosition;

    /** The mechanisms that decide whether a replica is allowed and has capacity. */
    record Mechanisms(
            LoadTracker load,
            OutlierDetector outliers,
            SlowStart slowStart,
            RetryPolicy retries,
            OverloadDetector overload,
            PromptCacheTracker promptCache) {}

    ReplicaSelector(
            ActiveSettings settings,
            FleetState fleet,
            ZoneHealth zones,
            AffinityTable affinityTable,
            ZoneAffinity zoneAffinity,
            Mechanisms mechanisms,
            SplitMix64 random) {
        this.settings = settings;
        this.fleet = fleet;
        this.zones = zones;
        this.affinityTable = affinityTable;
        this.zoneAffinity = zoneAffinity;
        this.mechanisms = mechanisms;
        this.random = random;
    }

    /**
     * Returns the replica for a request's next attempt, null if no replica is allowed or the endpoint list is out of
     * date.
     *
     * @param targetReplicaCount number of replicas that the request's affinity key is spread over
     */
    Replica select(RequestInFlight request, int targetReplicaCount, long now) {
        if (!fleet.isValid(now)) {
            return null;
        }
        zonePosition = SplitMix64.mixToUnitInterval(conversation(request.request()) ^ ZONE_POSITION_SALT);
        Replica trial = selectZoneTrial(request, now);
        if (trial != null) {
            return trial;
        }
        AffinityEntry entry = request.affinityEntry();
        if (entry != null) {
            entry.retainReady(targetReplicaCount);
        }
        boolean isEntryComplete = entry != null && entry.size() >= targetReplicaCount;
        Replica busy = null;
        if (isEntryComplete || (entry != null && entry.size() > 0 && request.hasAttempts())) {
            int first = startIndex(request);
            Replica cached = selectCached(request, first, now);
            if (cached != null) {
                return cached;
            }
            busy = selectBusyCached(request, first, now);
        }
        Replica next = selectFromRings(request, isEntryComplete, now);
        request.setServedOutsideAffinity(next == null || isEntryComplete || request.hasAttempts());
        if (!request.isServedOutsideAffinity() && entry != null) {
            entry.addFirst(next, targetReplicaCount);
        }
        if (next != null) {
            return next;
        }
        return busy != null ? busy : selectFallback(request, now);
    }

    private static long conversation(RoutingRequest request) {
        return request.sessionId() != 0 ? request.sessionId() : request.id().hashCode();
    }

    // ---- Affinity ---------------------------------------------------------------------------------------
    /**
     * Returns the index in the entry at which the search starts. A session starts at a fixed replica of a prefix's
     * entry, so that its next turn finds its tokens there. All other requests use the replicas round-robin, in the
     * entry's order.
     */
    private static int startIndex(RequestInFlight request) {
        AffinityEntry entry = request.affinityEntry();
        int first = 0;
        for (int i = 1; i < entry.size() && !usesRoundRobin(request); i++) {
            first = rank(request, entry.get(i)) > rank(request, entry.get(first)) ? i : first;
        }
        return first;
    }

    private static boolean usesRoundRobin(RequestInFlight request) {
        return request.affinityEntry().isSession() || request.request().sessionId() == 0;
    }

    /** Rank of a replica for a session (rendezvous hashing): a replica that joins or leaves moves only its sessions. */
    private static long rank(RequestInFlight request, Replica replica) {
        return SplitMix64.mix(request.request().sessionId() ^ replica.hash());
    }

    private Replica selectCached(RequestInFlight request, int first, long now) {
        AffinityEntry entry = request.affinityEntry();
        for (int step = 0; step < entry.size(); step++) {
            int index = (first + step) % entry.size();
            Replica replica = entry.get(index);
            if (isAllowed(request, replica, now) && isAvailable(replica, now)) {
                if (usesRoundRobin(request)) {
                    entry.moveToBack(index);
                }
                return replica;
            }
        }
        return null;
    }

    private Replica selectBusyCached(RequestInFlight request, int first, long now) {
        AffinityEntry entry = request.affinityEntry();
        for (int step = 0; step < entry.size(); step++) {
            Replica replica = entry.get((first + step) % entry.size());
            if (isReachable(replica, now) && isAllowed(request, replica, now)) {
                return replica;
            }
        }
        return null;
    }

    // ---- Rings ------------------------------------------------------------------------------------------
    private Replica selectFromRings(RequestInFlight request, boolean isEntryComplete, long now) {
        AffinityEntry entry = request.affinityEntry();
        long position = entry != null ? entry.ringPosition() : SplitMix64.mix(keylessRequestCount++);
        HashRing ring = zoneAffinity.ringFor(entry != null ? position : keylessRequestCount);
        Replica replica = findAvailable(ring, position, request, isEntryComplete, now);
        return replica == null && ring != fleet.fullRing()
                ? findAvailable(fleet.fullRing(), position, request, isEntryComplete, now)
                : replica;
    }

    /** Returns the next available replica from the position on the ring that has room for another key, null if none. */
    private Replica findAvailable(
            HashRing ring, long position, RequestInFlight request, boolean isEntryComplete, long now) {
        int cachedKeys = Math.max(
                MIN_CACHED_KEYS, CACHED_KEYS_PER_REPLICA / settings.get().instanceCount());
        int start = ring.firstPointFrom(position);
        Replica previous = null;
        int examined = 0;
        for (int step = 0; step < ring.pointCount() && examined < MAX_STEPS; step++) {
            Replica replica = ring.replicaAt(start + step);
            if (replica != previous) {
                previous = replica;
                examined++;
                if (isAvailable(replica, now)
                        && (isEntryComplete || replica.affinityEntryCount() < cachedKeys)
                        && !request.hasAffinityTo(replica)
                        && isAllowed(request, replica, now)) {
                    return replica;
                }
            }
        }
        return null;
    }

    // ---- Fallbacks --------------------------------------------------------------------------------------
    /**
     * Selects a replica when all are at capacity or busy: one of the least recently used affinity entries, which is
     * then removed from that entry, or else any ready replica within a bounded search from a random start.
     */
    private Replica selectFallback(RequestInFlight request, long now) {
        int examined = 0;
        AffinityEntry entry = affinityTable.oldest();
        while (entry != null && examined < MAX_STEPS) {
            for (int i = 0; i < entry.size(); i++) {
                Replica replica = entry.get(i);
                if (isReachable(replica, now) && isAllowed(request, replica, now)) {
                    entry.remove(i);
                    return replica;
                }
            }
            entry = affinityTable.nextNewer(entry);
            examined++;
        }
        return selectLastResort(request, now);
    }

    private Replica selectLastResort(RequestInFlight request, long now) {
        int start = (int) (random.nextDouble() * fleet.size());
        for (int step = 0; step < Math.min(fleet.size(), MAX_LAST_RESORT_STEPS); step++) {
            Replica replica = fleet.get((start + step) % fleet.size());
            if (replica.isReady() && isAllowed(request, replica, now)) {
                return replica;
            }
        }
        return null;
    }

    /** Returns a replica of a closed zone if a trial is due there and health checks are not allowed, otherwise null. */
    private Replica selectZoneTrial(RequestInFlight request, long now) {
        if (!zones.plansFailover() || settings.get().limits().allowsHealthChecks() || request.hasAttempts()) {
            return null;
        }
        for (int zone = 0; zone < fleet.zoneCount(); zone++) {
            int start = (int) (random.nextDouble() * fleet.size());
            if (zones.closedSince(zone) != Long.MAX_VALUE) {
                Replica candidate = selectInZone(zone, start, request, now);
                if (candidate != null && zones.acquireTrial(now, zone)) {
                    return candidate;
                }
            }
        }
        return null;
    }

    private Replica selectInZone(int zone, int start, RequestInFlight request, long now) {
        for (int step = 0; step < fleet.size(); step++) {
            Replica replica = fleet.get((start + step) % fleet.size());
            if (replica.isReady() && fleet.zoneOf(replica) == zone && isAllowed(request, replica, now)) {
                return replica;
            }
        }
        return null;
    }

    // ---- Eligibility ------------------------------------------------------------------------------------
    /** Returns whether the request may be sent there: not twice, only if a retry is safe, and within slow start. */
    private boolean isAllowed(RequestInFlight request, Replica replica, long now) {
        return !request.wasSentTo(replica)
                && mechanisms.retries.allowsAttempt(request, replica, now)
                && mechanisms.slowStart.allowsAttempt(replica, now);
    }

    /** Returns whether the replica is ready, not ejected, and in a zone that accepts the request. */
    private boolean isReachable(Replica replica, long now) {
        return replica.isReady()
                && mechanisms.outliers.allowsAttempt(replica, now)
                && zones.accepts(now, fleet.zoneOf(replica), zonePosition);
    }

    /**
     * Returns whether the replica gets regular traffic now. While the fleet is overloaded, a key stays at its replica
     * however busy it is: another replica would have to recompute its tokens and become overloaded in turn. If few
     * tokens are found cached anyway, as after a release, a short queue matters more than affinity.
     */
    private boolean isAvailable(Replica replica, long now) {
        boolean prefersAffinity = mechanisms.overload.isOverloaded() && mechanisms.promptCache.isHitRatioHigh();
        return isReachable(replica, now)
                && (prefersAffinity || mechanisms.load.hasCapacity(replica, fleet.readyCount(), now));
    }
}
