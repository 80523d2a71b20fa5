package magpiehub.routing;

/**
 * An affinity key, a shared prefix or a session, with the replicas that are likely to have its tokens cached. The
 * replicas form a deque that is used in rotation; new ones enter at the front.
 */
final class AffinityEntry {
    /** Replicas of one entry at most; a prefix that needs more is spread by session over the whole ring. */
    static final int MAX_REPLICAS = 8;

    private static final long NEVER = Long.MIN_VALUE;

    // Position in the table's order of last use: only AffinityTable touches these three.
    AffinityEntry newer;
    AffinityEntry older;
    long lastUsedAt;

    private final long key;
    private final boolean session;
    private final Replica[] replicas = new Replica[MAX_REPLICAS];
    private int size;
    private final DecayedCounter demand;
    private long confirmedAt = NEVER;

    AffinityEntry(long key, boolean isSession, long now) {
        this.key = key;
        this.session = isSession;
        demand = new DecayedCounter(TrafficMeter.TIME_CONSTANT_MICROS, now);
    }

    long key() {
        return key;
    }

    /** Whether the key is a session; otherwise it is a shared prefix. */
    boolean isSession() {
        return session;
    }

    /** The key's position on a ring; sessions and prefixes of equal number have different ones. */
    long ringPosition() {
        return SplitMix64.mix(key * 2 + (session ? 1 : 0));
    }

    // ---- Demand -----------------------------------------------------------------------------------------
    /** Counts a request for this key. */
    void recordRequest(long now) {
        demand.increment(now);
    }

    /** Requests for this key, decayed. */
    double demand() {
        return demand.value();
    }

    // ---- Replicas ---------------------------------------------------------------------------------------
    int size() {
        return size;
    }

    Replica get(int index) {
        return replicas[index];
    }

    boolean contains(Replica replica) {
        return indexOf(replica) >= 0;
    }

    private int indexOf(Replica replica) {
        for (int i = 0; i < size; i++) {
            if (replicas[i] == replica) {
                return i;
            }
        }
        return -1;
    }

    /** Adds a replica at the front, unless it is there; past {@code maxSize}, replicas at the back go. */
    void addFirst(Replica replica, int maxSize) {
        if (contains(replica)) {
            return;
        }
        while (size >= maxSize) {
            remove(size - 1);
        }
        System.arraycopy(replicas, 0, replicas, 1, size);
        replicas[0] = replica;
        size++;
        confirmedAt = NEVER;
        replica.addedToAffinityEntry();
    }

    void remove(int index) {
        replicas[index].removedFromAffinityEntry();
        System.arraycopy(replicas, index + 1, replicas, index, size - index - 1);
        replicas[--size] = null;
    }

    void remove(Replica replica) {
        remove(indexOf(replica));
    }

    void clear() {
        while (size > 0) {
            remove(size - 1);
        }
    }

    /** Removes replicas that are no longer ready, and those at the back past {@code maxSize}. */
    void retainReady(int maxSize) {
        for (int i = size - 1; i >= 0; i--) {
            if (!replicas[i].isReady() || i >= maxSize) {
                remove(i);
            }
        }
    }

    /** Makes the replica the last one in rotation. */
    void moveToBack(int index) {
        Replica replica = replicas[index];
        System.arraycopy(replicas, index + 1, replicas, index, size - index - 1);
        replicas[size - 1] = replica;
    }

    // ---- Confirmation -----------------------------------------------------------------------------------
    /** Whether a replica of the entry has served the key since the newest one was added. */
    boolean isConfirmed() {
        return confirmedAt != NEVER;
    }

    /** A replica of the entry has served the key. */
    void confirm(long now) {
        confirmedAt = now;
    }

    /** Whether the entry was confirmed when an attempt was sent. */
    boolean wasConfirmedAt(long time) {
        return time >= confirmedAt;
    }
}
