package magpiehub.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The replicas of the endpoint list, and the hash rings of those that are ready. Applies endpoint lists, and notifies
 * a listener of replicas that restarted or became unavailable.
 */
final class FleetState {
    /** Number of replicas that a router uses where connections have a cost. */
    private static final int SUBSET_SIZE = 6;

    /** Is notified of the changes that an endpoint list makes to single replicas. */
    interface Listener {
        /** The replica has started or restarted at {@code startedAt}. */
        void onReplicaStarted(Replica replica, long startedAt);

        /** The replica is draining, gone or no longer listed: it gets no new requests. */
        void onReplicaUnavailable(Replica replica);
    }

    private final ActiveSettings settings;
    private final Map<String, Replica> byId = new HashMap<>();
    private final List<Replica> replicas = new ArrayList<>();
    private HashRing fullRing = new HashRing(List.of());
    private HashRing subsetRing = fullRing;
    private HashRing ownZoneRing = fullRing;
    private int zoneCount;
    private int readyCount;
    private int[] readyPerZone = {};
    private int readyInOwnZone;
    private long validUntil = Long.MAX_VALUE;

    FleetState(ActiveSettings settings) {
        this.settings = settings;
        growZones();
    }

    /** Adds the zones of new settings; the number of zones never decreases. */
    void growZones() {
        zoneCount = Math.max(Math.max(1, zoneCount), settings.get().zoneCount());
    }

    /** Sets the time until which the endpoint list may be used. */
    void setValidUntil(long time) {
        validUntil = time;
    }

    /** Returns whether the endpoint list may still be used for sending. */
    boolean isValid(long now) {
        return now < validUntil;
    }

    // ---- Endpoint lists ---------------------------------------------------------------------------------
    /** Applies an endpoint list; returns whether {@link #rebuild} is needed. */
    boolean update(EndpointListKind kind, List<Endpoint> endpoints, Listener listener) {
        boolean changed = false;
        if (kind != EndpointListKind.CHANGES) {
            changed = removeUnlisted(endpoints, listener);
        }
        for (Endpoint endpoint : endpoints) {
            changed |= update(endpoint, listener);
        }
        return changed;
    }

    private boolean removeUnlisted(List<Endpoint> endpoints, Listener listener) {
        Set<String> listed = new HashSet<>();
        endpoints.forEach(e -> listed.add(e.id()));
        boolean changed = false;
        for (Replica replica : replicas) {
            if (!listed.contains(replica.id())) {
                changed |= replica.isReady();
                makeUnavailable(replica, listener);
                byId.remove(replica.id());
            }
        }
        replicas.removeIf(r -> !listed.contains(r.id()));
        return changed;
    }

    private boolean update(Endpoint endpoint, Listener listener) {
        Replica replica = byId.get(endpoint.id());
        if (replica == null) {
            replica = new Replica(endpoint.id());
            byId.put(endpoint.id(), replica);
            replicas.add(replica);
        }
        boolean restarted = replica.isRestartedBy(endpoint);
        boolean changed = replica.update(endpoint, settings.get().weightMeaning());
        if (restarted && endpoint.startedAt() > 0) {
            listener.onReplicaStarted(replica, endpoint.startedAt());
        }
        if (endpoint.state() == EndpointState.LIVE) {
            replica.setReady(true);
        } else {
            makeUnavailable(replica, listener);
        }
        if (endpoint.state() == EndpointState.DEAD) {
            // A replacement has a new id, so the old entry would otherwise be kept and iterated over forever.
            byId.remove(replica.id());
            replicas.remove(replica);
            changed = true;
        }
        return changed;
    }

    /** The replica gets no new requests from now on; affinity entries remove it when they are next used. */
    private static void makeUnavailable(Replica replica, Listener listener) {
        replica.setReady(false);
        listener.onReplicaUnavailable(replica);
    }

    // ---- Rings ------------------------------------------------------------------------------------------
    /** Recomputes relative sizes, counts and rings. */
    void rebuild() {
        replicas.sort((a, b) -> a.hash() != b.hash() ? Long.compare(a.hash(), b.hash()) : a.id().compareTo(b.id()));
        double sizeSum = 0;
        for (Replica replica : replicas) {
            sizeSum += replica.size();
        }
        List<Replica> ready = new ArrayList<>();
        List<Replica> ownZoneReady = new ArrayList<>();
        readyPerZone = new int[zoneCount];
        for (Replica replica : replicas) {
            replica.setRelativeSize(replicas.size(), sizeSum);
            if (replica.isReady()) {
                ready.add(replica);
                readyPerZone[zoneOf(replica)]++;
                if (isInOwnZone(replica)) {
                    ownZoneReady.add(replica);
                }
            }
        }
        readyCount = ready.size();
        readyInOwnZone = ownZoneReady.size();
        buildRings(ready, ownZoneReady);
    }

    private void buildRings(List<Replica> ready, List<Replica> ownZoneReady) {
        boolean subset = settings.get().hasConnectionCosts();
        int instance = settings.get().instanceIndex();
        fullRing = new HashRing(ready);
        subsetRing = subset ? new HashRing(subset(ready, instance)) : fullRing;
        ownZoneRing = ownZoneReady.isEmpty()
                ? subsetRing
                : new HashRing(subset ? subset(ownZoneReady, instance / zoneCount) : ownZoneReady);
    }

    /**
     * Returns the subset of replicas that a router uses where connections have a cost (deterministic subsetting). Its
     * instance index picks a slice of a shuffle that it shares with the other routers of its round, so that all
     * replicas are used by about the same number of routers.
     */
    private static List<Replica> subset(List<Replica> from, int instance) {
        int slices = Math.max(1, from.size() / SUBSET_SIZE);
        long round = SplitMix64.mix(instance / slices + 1);
        List<Replica> shuffled = new ArrayList<>(from);
        shuffled.sort((a, b) -> Long.compare(SplitMix64.mix(a.hash() ^ round), SplitMix64.mix(b.hash() ^ round)));
        int start = instance % slices * SUBSET_SIZE;
        return shuffled.subList(start, slices == 1 ? from.size() : start + SUBSET_SIZE);
    }

    /** Returns the ring of all ready replicas. */
    HashRing fullRing() {
        return fullRing;
    }

    /** Returns the ring of the replicas that this router uses: all ready ones, unless connections have a cost. */
    HashRing subsetRing() {
        return subsetRing;
    }

    /** Returns the ring of the own zone's replicas; {@link #subsetRing()} if there are none. */
    HashRing ownZoneRing() {
        return ownZoneRing;
    }

    /** Returns whether the replica gets regular traffic, so that its idle connections are worth keeping. */
    boolean getsRegularTraffic(Replica replica) {
        return ownZoneRing.contains(replica) || subsetRing.contains(replica);
    }

    // ---- Replicas ---------------------------------------------------------------------------------------
    /** Returns the replica with the id, null if it is unknown. */
    Replica find(String id) {
        return byId.get(id);
    }

    /** Returns the number of known replicas, ready or not. */
    int size() {
        return replicas.size();
    }

    /** Returns a replica by its index from 0; only endpoint lists change the order. */
    Replica get(int index) {
        return replicas.get(index);
    }

    int readyCount() {
        return readyCount;
    }

    // ---- Zones ------------------------------------------------------------------------------------------
    int zoneCount() {
        return zoneCount;
    }

    /** Returns the number of ready replicas of a zone when the rings were last built. */
    int readyInZone(int zone) {
        return readyPerZone[zone];
    }

    /** Returns the number of ready replicas of the router's own zone when the rings were last built. */
    int readyInOwnZone() {
        return readyInOwnZone;
    }

    boolean isInOwnZone(Replica replica) {
        return replica.endpoint().zone() == settings.get().ownZone();
    }

    int zoneOf(Replica replica) {
        return validZone(replica.endpoint().zone());
    }

    /** Returns the zone itself, or 0 if the settings do not contain it. */
    int validZone(int zone) {
        return zone >= 0 && zone < zoneCount ? zone : 0;
    }
}
