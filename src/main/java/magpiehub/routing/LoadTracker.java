package magpiehub.routing;

import java.util.ArrayDeque;

/**
 * This router's load on each replica: attempts in flight, an adaptive concurrency limit, the pause after a rejection,
 * and attempts whose first token is awaited. It answers whether a replica has capacity for one more.
 */
final class LoadTracker {
    /**
     * A replica is passed over while it has more than this many times the mean of this router's attempts, and
     * {@link #EXTRA_QUEUE_DEPTH} more: work piles up where a replica is slow, whatever makes it slow.
     */
    private static final double MAX_QUEUE_DEPTH_RATIO = 2;

    private static final double EXTRA_QUEUE_DEPTH = 1.5;

    /**
     * A replica is passed over while an attempt has waited there for so long (us) without a first token: some five
     * times what one takes that finds its tokens cached.
     */
    static final long FIRST_TOKEN_PATIENCE_MICROS = 400_000;

    /** How long a replica that rejected for lack of capacity is passed over (us), before jitter. */
    private static final long REJECTION_PAUSE_MICROS = 300_000;

    /** Jitter on that pause: half of it always, and as much again by chance. */
    private static final double LEAST_PAUSE = 0.5;

    /** Concurrency limit of a replica of which nothing is known; high enough not to bind. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 64;

    /** A rejection lowers the limit to this part of what was in flight. */
    private static final double REJECTION_DECREASE = 0.8;

    /** The load on one replica; only {@link LoadTracker} reads and changes it. */
    static final class ReplicaLoad {
        private int inFlight;
        private double concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
        private long pausedUntil;
        /** In the order of sending; those started or ended are taken out when they are met at the head. */
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

    /** Attempts in flight at a replica. */
    int inFlight(Replica replica) {
        return replica.load.inFlight;
    }

    /** A complete answer came: while the limit binds, it rises by about one a round of answers. */
    void recordServed(Replica replica) {
        ReplicaLoad load = replica.load;
        if (load.inFlight + 1 >= load.concurrencyLimit) {
            load.concurrencyLimit += 1 / load.concurrencyLimit;
        }
    }

    /** The replica rejected an attempt for lack of capacity: its limit falls, and it rests for a moment. */
    void recordRejected(Replica replica, long now) {
        ReplicaLoad load = replica.load;
        double held = Math.min(load.concurrencyLimit, load.inFlight + 1);
        load.concurrencyLimit = Math.max(1, held * REJECTION_DECREASE);
        load.pausedUntil = now + (long) (REJECTION_PAUSE_MICROS * (LEAST_PAUSE + random.nextDouble()));
    }

    /** The replica reports a queue: it is passed over for as long as one that rejected. */
    void recordQueueReported(Replica replica, long now) {
        replica.load.pausedUntil = Math.max(replica.load.pausedUntil, now + REJECTION_PAUSE_MICROS);
    }

    /** The replica has started anew: its limit is not known. */
    void resetLimit(Replica replica) {
        replica.load.concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
    }

    /** Whether the replica can take one more attempt without making it wait. */
    boolean hasCapacity(Replica replica, int readyCount, long now) {
        ReplicaLoad load = replica.load;
        double mean = replica.relativeSize() * inFlight / Math.max(1, readyCount);
        return !isFirstTokenOverdue(load, now)
                && now >= load.pausedUntil
                && load.inFlight < load.concurrencyLimit
                && load.inFlight < EXTRA_QUEUE_DEPTH + MAX_QUEUE_DEPTH_RATIO * mean;
    }

    /**
     * Whether an attempt there should have started by now. A first token tells of a slow replica only when it comes;
     * until then everything of its keys would follow, from every router.
     */
    private static boolean isFirstTokenOverdue(ReplicaLoad load, long now) {
        load.dropStarted();
        return !load.awaitingFirstToken.isEmpty()
                && now - load.awaitingFirstToken.peek().sentAt() > FIRST_TOKEN_PATIENCE_MICROS;
    }

    /** Attempts at a replica that may still await their first token, in the order of sending. */
    Iterable<Attempt> possiblyAwaitingFirstToken(Replica replica) {
        return replica.load.awaitingFirstToken;
    }
}
