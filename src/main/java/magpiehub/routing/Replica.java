package magpiehub.routing;

/**
 * This router's view of a replica: its entry of the endpoint list, and one state object per mechanism that tracks it.
 * Only that mechanism accesses its state object.
 */
final class Replica {
    /**
     * Bounds of a replica's size relative to the fleet's mean, so that a wrong weight neither floods nor starves it.
     */
    private static final double MIN_RELATIVE_SIZE = 0.2;

    private static final double MAX_RELATIVE_SIZE = 4;

    /** Relative change of the weight up to which it counts as noise and the ring is not rebuilt. */
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
    private long lastContactAt;

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

    /** Returns a hash of the id, which is the same at all routers. */
    long hash() {
        return hash;
    }

    /** Returns its latest entry of the endpoint list. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** Returns whether it accepts new requests according to the endpoint list. */
    boolean isReady() {
        return ready;
    }

    void setReady(boolean isReady) {
        ready = isReady;
    }

    /** Returns whether an entry shows that the replica restarted; the first entry counts as a start. */
    boolean isRestartedBy(Endpoint entry) {
        return endpoint == null || entry.startedAt() > endpoint.startedAt();
    }

    /** Applies a newer entry of the endpoint list; returns whether the rings must be rebuilt. */
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
                // A live weight decreases with the load: the largest value seen is the replica's size.
            case LIVE -> Math.max(size, entry.weight());
            default -> entry.weight();
        };
    }

    double size() {
        return size;
    }

    /** Returns its size relative to the fleet's mean, within bounds. */
    double relativeSize() {
        return relativeSize;
    }

    /** Sets the relative size from the number and the sum of the sizes of the fleet's replicas. */
    void setRelativeSize(int replicaCount, double sizeSum) {
        relativeSize = sizeSum <= 0
                ? 1
                : Math.max(MIN_RELATIVE_SIZE, Math.min(MAX_RELATIVE_SIZE, size * replicaCount / sizeSum));
    }

    /** Returns the number of affinity entries that contain it. */
    int affinityEntryCount() {
        return affinityEntryCount;
    }

    void addedToAffinityEntry() {
        affinityEntryCount++;
    }

    void removedFromAffinityEntry() {
        affinityEntryCount--;
    }

    /** Returns when it last answered, or was last sent a health check for not answering. */
    long lastContactAt() {
        return lastContactAt;
    }

    void recordContact(long now) {
        lastContactAt = now;
    }
}
