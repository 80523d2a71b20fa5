package magpiehub.routing;

import java.util.ArrayDeque;

/**
 * Tracks this router's load on each replica: attempts in flight, an adaptive concurrency limit, the backoff after a
 * rejection, and attempts that await their first token. Decides whether a replica has capacity for another attempt.
 */
final class LoadTracker {
    /**
     * A replica is skipped while it has more than this multiple of the mean number of this router's attempts per
     * replica plus {@link #EXTRA_QUEUE_DEPTH}: attempts accumulate at a slow replica whatever the cause.
     */
    private static final double MAX_QUEUE_DEPTH_RATIO = 2;

    private static final double EXTRA_QUEUE_DEPTH = 1.5;

    /**
     * A replica is skipped while an attempt there has waited for this time without a first token, which is about five
     * times the usual time to first token of a cached prompt.
     */
    static final long FIRST_TOKEN_OVERDUE_MICROS = 400_000;

    /** How long a replica that rejected an attempt for lack of capacity is skipped, before jitter. */
    private static final long REJECTION_BACKOFF_MICROS = 300_000;

    /** Lower bound of the jitter factor of that backoff, which is between 0.5 and 1.5. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    /** Concurrency limit of a replica without history; high enough not to have an effect. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 64;

    /** Factor from the number of attempts in flight to the concurrency limit after a rejection. */
    private static final double REJECTION_DECREASE = 0.8;

    /** The load on one replica, which only {@link LoadTracker} accesses. */
    static final class ReplicaLoad {
        private int inFlight;
        private double concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
        private long backoffUntil;
        /** In the order of sending; started and ended attempts are removed when they reach the head. */
        private final ArrayDeque<Attempt> awaitingFirstToken = new ArrayDeque<>(2);

        private void dropStarted() {
            while (!awaitingFirstToken.isEmpty() && !awaitingFirstToken.peek().awaitsFirstToken()) {
                awaitingFirstToken.poll();
            }
        }
    }

    private final SplitMix64 random;
    private int inFlight;

    LoadTracker(SplitMix64 random) {
        this.random = random;
    }

    void recordSent(Attempt attempt) {
        ReplicaLoad load = attempt.replica().load;
        load.dropStarted();
        load.awaitingFirstToken.add(attempt);
        load.inFlight++;
        inFlight++;
    }

    void recordEnded(Attempt attempt) {
        attempt.replica().load.inFlight--;
        inFlight--;
    }

    /** Returns the number of attempts in flight at a replica. */
    int inFlight(Replica replica) {
        return replica.load.inFlight;
    }

    /** Records a complete answer: while the limit is reached, it rises by about one per round of answers. */
    void recordServed(Replica replica) {
        ReplicaLoad load = replica.load;
        if (load.inFlight + 1 >= load.concurrencyLimit) {
            load.concurrencyLimit += 1 / load.concurrencyLimit;
        }
    }

    /** Records a rejection for lack of capacity: lowers the limit and skips the replica for a short time. */
    void recordRejected(Replica replica, long now) {
        ReplicaLoad load = replica.load;
        double inFlightAtRejection = Math.min(load.concurrencyLimit, load.inFlight + 1);
        load.concurrencyLimit = Math.max(1, inFlightAtRejection * REJECTION_DECREASE);
        load.backoffUntil = now + (long) (REJECTION_BACKOFF_MICROS * (MIN_JITTER_FACTOR + random.nextDouble()));
    }

    /** Records that the replica reported a queue: it is skipped for as long as after a rejection, without jitter. */
    void recordQueueReported(Replica replica, long now) {
        replica.load.backoffUntil = Math.max(replica.load.backoffUntil, now + REJECTION_BACKOFF_MICROS);
    }

    /** Resets the limit of a replica that has restarted. */
    void resetLimit(Replica replica) {
        replica.load.concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
    }

    /** Returns whether the replica can serve another attempt without queueing it. */
    boolean hasCapacity(Replica replica, int readyCount, long now) {
        ReplicaLoad load = replica.load;
        double mean = replica.relativeSize() * inFlight / Math.max(1, readyCount);
        return !isFirstTokenOverdue(load, now)
                && now >= load.backoffUntil
                && load.inFlight < load.concurrencyLimit
                && load.inFlight < EXTRA_QUEUE_DEPTH + MAX_QUEUE_DEPTH_RATIO * mean;
    }

    /**
     * Returns whether the first token of an attempt is overdue. A late first token shows a slow replica only once it
     * arrives; until then all routers would keep sending requests of its affinity keys there.
     */
    private static boolean isFirstTokenOverdue(ReplicaLoad load, long now) {
        load.dropStarted();
        return !load.awaitingFirstToken.isEmpty()
                && now - load.awaitingFirstToken.peek().sentAt() > FIRST_TOKEN_OVERDUE_MICROS;
    }

    /** Returns attempts at a replica that may still await their first token, in the order of sending. */
    Iterable<Attempt> possiblyAwaitingFirstToken(Replica replica) {
        return replica.load.awaitingFirstToken;
    }
}
