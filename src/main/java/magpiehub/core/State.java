package magpiehub.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import magpiehub.core.Contract.Request;
import magpiehub.core.Contract.Server;

/** What the decision module remembers: plain fields that only {@link Rules} reads and writes,
 * and the handling of a deque. */
final class State {

    private State() {
    }

    /** A replica, as this node knows it. */
    static final class Replica {
        final String id;
        final long hash;
        Server entry;
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
        boolean unreachable;
        boolean trialOut;
        long ejectedUntil;
        long busyUntil;
        long coldSince = Rules.NEVER;
        double coldTokens;
        long coldAt;
        long heard;
        /** Attempts in order of sending; those begun or over are taken out when they are met. */
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>(2);

        Replica(String id) {
            this.id = id;
            long h = 0;
            for (int i = 0; i < id.length(); i++) { h = Rules.mix(h * 31 + id.charAt(i) + 1); }
            hash = h;
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
        long settledAt = Rules.NEVER;
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
            settledAt = Rules.NEVER;
            r.keys++;
        }

        /** The key's place on a ring; the two id spaces are apart. */
        long place() {
            return Rules.mix(key * 2 + (session ? 1 : 0));
        }

        Mapping(long key, boolean session, int most) {
            deque = new Replica[most];
            this.key = key;
            this.session = session;
        }
    }

    /** One sending of a request to a replica. */
    static final class Attempt {
        final Replica replica;
        final long sentAt;
        boolean begun;
        boolean done;
        boolean trial;

        Attempt(Replica replica, long sentAt) {
            this.replica = replica;
            this.sentAt = sentAt;
        }
    }

    /** A request taken and not over, or over with attempts still out. */
    static final class Held {
        final Request r;
        final long arrived;
        final List<Attempt> attempts = new ArrayList<>(2);
        Mapping mapping;
        boolean fallback;
        boolean streaming;
        boolean over;
        int open;
        /** The first attempt that may have run, or null. */
        Attempt mayHaveRun;

        /** Length of its key's deque, at least one. */
        int width() {
            return mapping == null ? 1 : Math.max(1, mapping.size);
        }

        Held(Request r, long arrived) {
            this.r = r;
            this.arrived = arrived;
        }
    }
}
