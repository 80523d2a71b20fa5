package magpiehub.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The replicas that the endpoint list names, and the hash rings over those that are ready. Endpoint lists go in;
 * a listener hears which replicas started anew or became unavailable.
 */
final class FleetState {
    /** Replicas that a router keeps to where connections have a price. */
    private static final int SUBSET_SIZE = 6;

    /** Hears what an endpoint list changes for single replicas. */
    interface Listener {
        /** The replica has started at a time. */
        void onReplicaStarted(Replica replica, long startedAt);

        /** The replica is draining, gone or no longer listed: it gets nothing new. */
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

    /** Makes room for zones that new settings add; the number of zones never falls. */
    void growZones() {
        zoneCount = Math.max(Math.max(1, zoneCount), settings.get().zoneCount());
    }

    /** Sets until when the endpoint list may be used. */
    void setValidUntil(long time) {
        validUntil = time;
    }

    /** Whether anything may be sent by the endpoint list. */
    boolean isValid(long now) {
        return now < validUntil;
    }

    // ---- Endpoint lists ---------------------------------------------------------------------------------
    /** Takes an endpoint list; returns whether {@link #rebuild} is needed. */
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
            // A new replica has a new id: what has gone would be kept, and walked over, for good.
            byId.remove(replica.id());
            replicas.remove(replica);
            changed = true;
        }
        return changed;
    }

    /** It gets nothing new from this moment; affinity entries drop it when they meet it. */
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
        List<Replica> near = new ArrayList<>();
        readyPerZone = new int[zoneCount];
        for (Replica replica : replicas) {
            replica.setRelativeSize(replicas.size(), sizeSum);
            if (replica.isReady()) {
                ready.add(replica);
                readyPerZone[zoneOf(replica)]++;
                if (isInOwnZone(replica)) {
                    near.add(replica);
                }
            }
        }
        readyCount = ready.size();
        readyInOwnZone = near.size();
        buildRings(ready, near);
    }

    private void buildRings(List<Replica> ready, List<Replica> near) {
        boolean subset = settings.get().connectionsCost();
        int instance = settings.get().instanceIndex();
        fullRing = new HashRing(ready);
        subsetRing = subset ? new HashRing(subset(ready, instance)) : fullRing;
        ownZoneRing = near.isEmpty() ? subsetRing : new HashRing(subset ? subset(near, instance / zoneCount) : near);
    }

    /**
     * The few replicas that a router keeps to where connections have a price. Its number picks them from a shuffle
     * that a round of routers shares, so that each replica belongs to as many routers as the next.
     */
    private static List<Replica> subset(List<Replica> from, int instance) {
        int slices = Math.max(1, from.size() / SUBSET_SIZE);
        long round = SplitMix64.mix(instance / slices + 1);
        List<Replica> shuffled = new ArrayList<>(from);
        shuffled.sort((a, b) -> Long.compare(SplitMix64.mix(a.hash() ^ round), SplitMix64.mix(b.hash() ^ round)));
        int start = instance % slices * SUBSET_SIZE;
        return shuffled.subList(start, slices == 1 ? from.size() : start + SUBSET_SIZE);
    }

    /** The ring of all ready replicas. */
    HashRing fullRing() {
        return fullRing;
    }

    /** The ring of those that this router keeps to: all that are ready, unless connections have a price. */
    HashRing subsetRing() {
        return subsetRing;
    }

    /** The ring of those of the own zone; {@link #subsetRing()} if there are none. */
    HashRing ownZoneRing() {
        return ownZoneRing;
    }

    /** Whether ordinary traffic goes to the replica, so that its idle connections are of use. */
    boolean isOnOwnRings(Replica replica) {
        return ownZoneRing.contains(replica) || subsetRing.contains(replica);
    }

    // ---- Replicas ---------------------------------------------------------------------------------------
    /** The replica of an id, null if it is not known. */
    Replica find(String id) {
        return byId.get(id);
    }

    /** Replicas known, ready or not. */
    int size() {
        return replicas.size();
    }

    /** A replica by its index from 0, in an order that only endpoint lists change. */
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

    /** Ready replicas of a zone when the rings were last built. */
    int readyInZone(int zone) {
        return readyPerZone[zone];
    }

    /** Ready replicas of the router's own zone when the rings were last built. */
    int readyInOwnZone() {
        return readyInOwnZone;
    }

    boolean isInOwnZone(Replica replica) {
        return replica.endpoint().zone() == settings.get().ownZone();
    }

    int zoneOf(Replica replica) {
        return validZone(replica.endpoint().zone());
    }

    /** The zone itself, or 0 for one that the settings do not know. */
    int validZone(int zone) {
        return zone >= 0 && zone < zoneCount ? zone : 0;
    }
}
