package magpiehub.routing;

/**
 * An affinity key, which is a shared prefix or a session, and the replicas that are likely to have its tokens cached.
 * The replicas form a deque that is used round-robin; new ones are added at the front.
 */
final class AffinityEntry {
    /** Maximum number of replicas of an entry; a prefix that needs more is spread by session over the whole ring. */
    static final int MAX_REPLICAS = 8;

    private static final long NEVER = Long.MIN_VALUE;

    // Links and time of the LRU list, which only AffinityTable accesses.
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

    /** Returns whether the key is a session; otherwise it is a shared prefix. */
    boolean isSession() {
        return session;
    }

    /** Returns the key's position on a ring, which differs for a session and a prefix with the same id. */
    long ringPosition() {
        return SplitMix64.mix(key * 2 + (session ? 1 : 0));
    }

    // ---- Demand -----------------------------------------------------------------------------------------
    /** Records a request for this key. */
    void recordRequest(long now) {
        demand.increment(now);
    }

    /** Returns the decayed number of requests for this key. */
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

    /** Adds a replica at the front unless it is present; removes replicas at the back beyond {@code maxSize}. */
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

    /** Removes replicas that are not ready, and those at the back beyond {@code maxSize}. */
    void retainReady(int maxSize) {
        for (int i = size - 1; i >= 0; i--) {
            if (!replicas[i].isReady() || i >= maxSize) {
                remove(i);
            }
        }
    }

    /** Moves the replica to the end of the rotation. */
    void moveToBack(int index) {
        Replica replica = replicas[index];
        System.arraycopy(replicas, index + 1, replicas, index, size - index - 1);
        replicas[size - 1] = replica;
    }

    // ---- Confirmation -----------------------------------------------------------------------------------
    /** Returns whether a replica of the entry has served the key since the last replica was added. */
    boolean isConfirmed() {
        return confirmedAt != NEVER;
    }

    /** Records that a replica of the entry has served the key. */
    void confirm(long now) {
        confirmedAt = now;
    }

    /** Returns whether the entry was confirmed by the given time. */
    boolean wasConfirmedAt(long time) {
        return time >= confirmedAt;
    }
}
