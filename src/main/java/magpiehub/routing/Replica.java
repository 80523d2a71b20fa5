package magpiehub.routing;

/**
 * A replica of the fleet as this router knows it: what the endpoint list says of it, and one state object for each
 * mechanism that remembers something of it. Only that mechanism reads and changes its state.
 */
final class Replica {
    /** Bounds of a replica's size against the fleet's mean, so that a wrong weight can't take or starve a replica. */
    private static final double LEAST_RELATIVE_SIZE = 0.2;

    private static final double MOST_RELATIVE_SIZE = 4;

    /** A new weight within this part of the known size is noise, and leaves the ring as it is. */
    private static final double SIZE_TOLERANCE = 0.1;

    /** Owned by {@link LoadTracker}. */
    final LoadTracker.ReplicaLoad load = new LoadTracker.ReplicaLoad();
    /** Owned by {@link OutlierDetector}. */
    final OutlierDetector.ReplicaStatus outlierStatus = new OutlierDetector.ReplicaStatus();
    /** Owned by {@link SlowStart}. */
    final SlowStart.WarmUp warmUp = new SlowStart.WarmUp();

    private final String id;
    private final long hash;
    private Endpoint endpoint;
    private double size;
    private double relativeSize = 1;
    private boolean ready;
    private int affinityEntryCount;
    private long lastHeardAt;

    Replica(String id) {
        this.id = id;
        long h = 0;
        for (int i = 0; i < id.length(); i++) {
            h = SplitMix64.mix(h * 31 + id.charAt(i) + 1);
        }
        hash = h;
    }

    String id() {
        return id;
    }

    /** A hash of the id, equal at all routers. */
    long hash() {
        return hash;
    }

    /** Its newest entry of the endpoint list. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** Whether it takes new requests, as far as the endpoint list says. */
    boolean isReady() {
        return ready;
    }

    void setReady(boolean isReady) {
        ready = isReady;
    }

    /** Whether an entry says that the replica started anew; the first entry counts as a start. */
    boolean isRestartedBy(Endpoint entry) {
        return endpoint == null || entry.startedAt() > endpoint.startedAt();
    }

    /** Takes a newer entry of the endpoint list; returns whether the rings depend on what it changed. */
    boolean update(Endpoint entry, WeightMeaning meaning) {
        double newSize = sizeOf(entry, meaning);
        boolean resized = Math.abs(newSize - size) > SIZE_TOLERANCE * size;
        boolean live = entry.state() == EndpointState.LIVE;
        boolean changed = endpoint == null || endpoint.zone() != entry.zone() || ready != live || resized;
        size = resized ? newSize : size;
        endpoint = entry;
        return changed;
    }

    private double sizeOf(Endpoint entry, WeightMeaning meaning) {
        return switch (meaning) {
            case NONE -> 1;
                // A live weight falls with the load: the most seen is the replica's size.
            case LIVE -> Math.max(size, entry.weight());
            default -> entry.weight();
        };
    }

    double size() {
        return size;
    }

    /** Its size over the mean of the fleet's, within bounds. */
    double relativeSize() {
        return relativeSize;
    }

    /** Sets the size against the sum of a fleet's sizes. */
    void setRelativeSize(int replicaCount, double sizeSum) {
        relativeSize = sizeSum <= 0
                ? 1
                : Math.max(LEAST_RELATIVE_SIZE, Math.min(MOST_RELATIVE_SIZE, size * replicaCount / sizeSum));
    }

    /** How many entries of the affinity table it stands in. */
    int affinityEntryCount() {
        return affinityEntryCount;
    }

    void addedToAffinityEntry() {
        affinityEntryCount++;
    }

    void removedFromAffinityEntry() {
        affinityEntryCount--;
    }

    /** When it last answered anything, or was last probed. */
    long lastHeardAt() {
        return lastHeardAt;
    }

    void heardAt(long now) {
        lastHeardAt = now;
    }
}
