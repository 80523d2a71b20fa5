package magpiehub.routing;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * How the zones of the list stand, as one node sees them: what the decision module asks before it sends, and
 * tells after. {@link Plain} is what holds where nothing else is set: a zone is passed over for a moment once
 * several of its replicas could not be reached. It owns what is known of zones; which replica of one gets a
 * request is the module's. Times in microseconds.
 */
public interface Zones {
    /** What an attempt or a health check tells of a replica. */
    enum Sign {
        /** It answered: a first token or anything whole. */
        ANSWERED,
        /** Nothing there. */
        NO_CONNECTION,
        /** The connection ended under a request. */
        BROKEN,
        /** Nothing said for long against what is usual. */
        SILENCE,
        /** An error at once: it is there. */
        ERROR
    }

    /** So many zones from now on. */
    void number(int zones);

    /** An attempt sent so long ago has told something; {@code ratio} is its first token's time against the
     *  usual, 1 where nothing was measured. */
    void told(long now, int zone, String replica, Sign sign, long took, double ratio);

    /** A replica is another one under its old name, or gone. */
    void fresh(String replica);

    /** The list names so many replicas of a zone that take work. */
    void listed(long now, int zone, int live);

    /** Whether the zone takes what stands at a place, from 0 to 1: of its usual work it takes a part. */
    boolean takes(long now, int zone, double place);

    /** From when on the zone gets nothing but trials; {@link Long#MAX_VALUE} while it gets more. */
    default long shutSince(int zone) {
        return Long.MAX_VALUE;
    }

    /** Whether one trial is due at a zone that gets nothing else. Asking takes it. */
    default boolean tries(long now, int zone) {
        return false;
    }

    /** Replicas of the zone to be asked whether they live. Asking takes them. */
    default int checks(int zone) {
        return 0;
    }

    /** Whether it wants to be told of silence and asked for checks and trials. */
    default boolean plans() {
        return false;
    }

    /** Time has passed. */
    default void tick(long now) {}

    /** A cut is learnt once, not replica by replica. */
    final class Plain implements Zones {
        /** A zone is passed over for this long (us) once this many of its replicas could not be reached
         *  within twice that time, and none could. */
        private static final long PAUSE = 1_000_000;

        private static final int FAILURES = 3;
        private long[] failedAt = new long[0];
        private int[] failures = new int[0];
        private final Set<String> unreachable = new HashSet<>();

        @Override
        public void number(int zones) {
            failedAt = Arrays.copyOf(failedAt, Math.max(failedAt.length, zones));
            failures = Arrays.copyOf(failures, failedAt.length);
        }

        @Override
        public void told(long now, int zone, String replica, Sign sign, long took, double ratio) {
            if (sign == Sign.NO_CONNECTION) {
                if (unreachable.add(replica)) {
                    failures[zone] = now - failedAt[zone] > 2 * PAUSE ? 1 : failures[zone] + 1;
                    failedAt[zone] = now;
                }
            } else if (sign == Sign.ANSWERED || sign == Sign.ERROR) {
                unreachable.remove(replica);
                failures[zone] = 0;
            }
        }

        @Override
        public void fresh(String replica) {
            unreachable.remove(replica);
        }

        @Override
        public void listed(long now, int zone, int live) {}

        @Override
        public boolean takes(long now, int zone, double place) {
            return failures[zone] < FAILURES || now - failedAt[zone] >= PAUSE;
        }
    }
}
