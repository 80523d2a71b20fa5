package magpiehub.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the decision module remembers: plain fields that only {@link RoutingPolicy} reads and writes,
 * and the handling of a deque. */
final class State {

    private State() {}

    /** A replica, as this node knows it. */
    static final class Replica {
        final String id;
        final long hash;
        Endpoint entry;
        /** Registered size, and the same over the fleet's mean. */
        double size;

        double part = 1;
        boolean ready;
        int inflight;
        int keys;
        double limit = 64;
        double slow = 1;
        int strikes;
        double breaks;
        long brokeAt;
        boolean ejected;
        boolean trialOut;
        long ejectedUntil;
        long busyUntil;
        long coldSince = RoutingPolicy.NEVER;
        double coldTokens;
        double coldPlace;
        long coldAt;
        long heard;
        /** Attempts in order of sending; those begun or over are taken out when they are met. */
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>(2);

        Replica(String id) {
            this.id = id;
            long h = 0;
            for (int i = 0; i < id.length(); i++) {
                h = RoutingPolicy.mix(h * 31 + id.charAt(i) + 1);
            }
            hash = h;
        }
    }

    /** Replicas at places that depend on their ids alone: one that leaves moves no key but its own. */
    static final class Ring {
        /** Points for a replica of usual size: enough for even shares, few enough to rebuild fast. */
        private static final int POINTS = 24;

        final long[] points;
        final Replica[] at;
        final int replicas;

        Ring(List<Replica> members) {
            replicas = members.size();
            List<Map.Entry<Long, Replica>> all = new ArrayList<>();
            for (Replica r : members) {
                for (int j = Math.max(1, (int) Math.round(POINTS * r.part)); j > 0; j--) {
                    all.add(Map.entry(RoutingPolicy.mix(r.hash + j * 0x632be59bd9b4e019L), r));
                }
            }
            all.sort(Map.Entry.comparingByKey());
            points = new long[all.size()];
            at = new Replica[points.length];
            for (int i = 0; i < points.length; i++) {
                points[i] = all.get(i).getKey();
                at[i] = all.get(i).getValue();
            }
        }

        boolean holds(Replica r) {
            return Arrays.asList(at).contains(r);
        }

        int from(long hash) {
            int i = Arrays.binarySearch(points, hash);
            return i >= 0 ? i : -i - 1;
        }
    }

    /** A row of the prefix table: a key, its deque of warm replicas, and its place in order of last use. */
    static final class Mapping {
        final long key;
        final boolean session;
        final Replica[] deque;
        int size;
        double demand;
        long demandAt;
        long used;
        /** When the newest entry was first served. */
        long settledAt = RoutingPolicy.NEVER;

        Mapping newer;
        Mapping older;

        int index(Replica r) {
            for (int i = 0; i < size; i++) {
                if (deque[i] == r) {
                    return i;
                }
            }
            return -1;
        }

        void drop(int i) {
            deque[i].keys--;
            System.arraycopy(deque, i + 1, deque, i, size - i - 1);
            deque[--size] = null;
        }

        /** Adds a replica at the front; past {@code most}, the back entry goes. */
        void join(Replica r, int most) {
            if (index(r) >= 0) {
                return;
            }
            while (size >= most) {
                drop(size - 1);
            }
            System.arraycopy(deque, 0, deque, 1, size);
            deque[0] = r;
            size++;
            settledAt = RoutingPolicy.NEVER;
            r.keys++;
        }

        /** The key's place on a ring; the two id spaces are apart. */
        long place() {
            return RoutingPolicy.mix(key * 2 + (session ? 1 : 0));
        }

        Mapping(long key, boolean session, int most) {
            deque = new Replica[most];
            this.key = key;
            this.session = session;
        }
    }

    /** The prefix table: rows by key, in order of last use. */
    static final class Table {
        private final Map<Long, Mapping> byPrefix = new HashMap<>();
        private final Map<Long, Mapping> bySession = new HashMap<>();
        private final int width;
        private final int most;
        private final long idle;
        private Mapping newest;
        private Mapping oldest;
        private int size;

        /** At most so many rows of so many replicas, each for so long after its last use (us). */
        Table(int width, int most, long idle) {
            this.width = width;
            this.most = most;
            this.idle = idle;
        }

        Mapping oldest() {
            return oldest;
        }

        /** The key's row, made if it is new, and moved to the young end of the order of last use. */
        Mapping row(long key, boolean session, long now) {
            Map<Long, Mapping> table = session ? bySession : byPrefix;
            Mapping m = table.get(key);
            if (m == null) {
                m = new Mapping(key, session, width);
                m.demandAt = now;
                table.put(key, m);
                size++;
            } else {
                unlink(m);
            }
            m.used = now;
            m.older = newest;
            if (newest != null) {
                newest.newer = m;
            }
            newest = m;
            oldest = oldest == null ? m : oldest;
            while (oldest != m && (size > most || now - oldest.used > idle)) {
                forget(oldest);
            }
            return m;
        }

        private void unlink(Mapping m) {
            if (m.newer != null) {
                m.newer.older = m.older;
            } else {
                newest = m.older;
            }
            if (m.older != null) {
                m.older.newer = m.newer;
            } else {
                oldest = m.newer;
            }
            m.newer = null;
            m.older = null;
        }

        private void forget(Mapping m) {
            unlink(m);
            (m.session ? bySession : byPrefix).remove(m.key);
            size--;
            while (m.size > 0) {
                m.drop(m.size - 1);
            }
        }
    }

    /** One sending of a request to a replica. */
    static final class Attempt {
        final Replica replica;
        final long sentAt;
        boolean begun;
        boolean done;
        boolean trial;
        /** Its silence has been told; it was given up since its zone gets nothing any more. */
        boolean silent;

        boolean givenUp;
        /** The zone that it went to. */
        final int zone;

        Attempt(Replica replica, long sentAt) {
            this.zone = replica.entry.zone();
            this.replica = replica;
            this.sentAt = sentAt;
        }
    }

    /** A request taken and not over, or over with attempts still out. */
    static final class Held {
        final RoutingRequest r;
        final long arrived;
        /** Those in force when it came: a reload changes nothing for a request under way. */
        final RoutingLimits limits;

        final List<Attempt> attempts = new ArrayList<>(2);
        Mapping mapping;
        boolean fallback;
        boolean streaming;
        boolean over;
        int open;
        /** The first attempt that may have run, or null. */
        Attempt mayHaveRun;

        /** Fewer attempts bind a request under way too, more do not. */
        int mostAttempts(RoutingLimits inForce) {
            return Math.min(limits.maxAttempts(), inForce.maxAttempts());
        }

        /** Length of its key's deque, at least one. */
        int width() {
            return mapping == null ? 1 : Math.max(1, mapping.size);
        }

        Held(RoutingRequest r, RoutingLimits limits, long arrived) {
            this.r = r;
            this.limits = limits;
            this.arrived = arrived;
        }
    }
}
