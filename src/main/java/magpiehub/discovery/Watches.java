package magpiehub.discovery;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Which watches of the list are under way, and which of them counts. It is a plain state machine: what the
 * module asks, what calls bring and the time go in; calls to begin and to close come out. It owns the one
 * watch in force, which has spoken, and the calls that are to follow it. It must never do I/O, read a clock,
 * ask again after a failure (the module backs off), or leave a call that may hang for good without another
 * one beside it: a list that can be had is to be in force within 6 s.
 */
final class Watches {
    /** Discovery writes at least an empty line each 2 s. A watch that is late by a quarter of a beat is
     *  followed by another, somewhere within the next 1.5 s, so that a fleet whose watches fall silent
     *  together does not ask in one moment (us). */
    private static final long LATE = 2_500_000;

    private static final long LATE_SPREAD = 1_500_000;
    /** A call that has not spoken is followed so soon by another one beside it. It goes on, for its answer
     *  may wait in discovery's queue, and its place there is not to be lost (us). */
    private static final long ANSWER = 2_000_000;

    private static final long ANSWER_SPREAD = 500_000;
    /** Calls that have not spoken at most: beyond, the oldest ends. It has then waited longer than discovery
     *  lets calls wait. */
    private static final int MOST_ASKED = 2;
    /** A call that says nothing for so long has failed (us). */
    static final long PATIENCE = 5_000_000;

    /** One call. */
    static class Call {
        final String address;
        /** When it has failed, and when it is followed by another (us). */
        private long until;

        private long late;

        Call(String address) {
            this.address = address;
        }
    }

    /** Who carries calls out. */
    interface Host {
        Call begin(String address);

        void close(Call c);

        /** A call has said nothing for too long; another one is asked for. */
        void late(Call c, boolean spoken);

        /** There is none that can be hoped for: the module is to ask again, in its time. */
        void failed(Call c, String why);
    }

    private final Host host;
    private final SplittableRandom random;
    private String address;
    /** The watch in force: on another address or silent, it counts until a newer one has spoken. */
    private Call live;
    /** Those that have not spoken, oldest first. */
    private final ArrayDeque<Call> asked = new ArrayDeque<>(MOST_ASKED + 1);

    Watches(String address, Host host, long seed) {
        this.address = address;
        this.host = host;
        this.random = new SplittableRandom(seed);
    }

    String address() {
        return address;
    }

    /** The module wants a watch. One that can still be hoped for will do. */
    void ask(long now) {
        if (asked.isEmpty() || asked.getLast().late == Long.MAX_VALUE) {
            begin(now);
        }
    }

    /** Discovery is at another address, and is asked there at once: the end of the watch on the old one would
     *  come too late. False if it was there already. */
    boolean move(String to, long now) {
        if (to.equals(address)) {
            return false;
        }
        address = to;
        asked.forEach(host::close);
        asked.clear();
        begin(now);
        return true;
    }

    void end() {
        asked.forEach(host::close);
        asked.clear();
        if (live != null) {
            host.close(live);
        }
        live = null;
    }

    /** Whether what a call brings counts. */
    boolean counts(Call c) {
        return c == live || asked.contains(c);
    }

    /** Whether the watch in force is not one to rely on, and no other one can be hoped for. */
    boolean forsaken() {
        return live != null && asked.isEmpty() && (live.late == Long.MAX_VALUE || !live.address.equals(address));
    }

    /** A call that counts has spoken. With its first word it is the watch in force, and all others end. */
    void spoke(Call c, long now) {
        c.until = now + PATIENCE;
        if (c == live && c.late == Long.MAX_VALUE) {
            return; // It had fallen silent once: what follows it goes on.
        }
        c.late = now + LATE + random.nextLong(LATE_SPREAD);
        if (c != live) {
            asked.remove(c);
            end();
            live = c;
        }
    }

    /** A call has ended. */
    void ended(Call c, String why) {
        boolean newest = c == asked.peekLast();
        asked.remove(c);
        host.close(c);
        boolean was = c == live;
        live = was ? null : live;
        // One that is older than another has only said what that one will say.
        if (newest || (was && asked.isEmpty())) {
            host.failed(c, why);
        }
    }

    /** When {@link #tick} wants to be called next. */
    long next() {
        long next = live == null ? Long.MAX_VALUE : Math.min(live.until, live.late);
        for (Call c : asked) {
            next = Math.min(next, Math.min(c.until, c.late));
        }
        return next;
    }

    /** Time has passed. */
    void tick(long now) {
        Call[] all = asked.toArray(new Call[0]);
        for (Call c : all) {
            if (c.until <= now) {
                ended(c, "silent");
            }
        }
        if (live != null && live.until <= now) {
            ended(live, "silent");
        }
        if (live != null && live.late <= now) {
            live.late = Long.MAX_VALUE;
            host.late(live, true);
            ask(now);
        }
        Call newest = asked.peekLast();
        if (newest != null && newest.late <= now) {
            newest.late = Long.MAX_VALUE;
            host.late(newest, false);
            begin(now);
        }
    }

    private void begin(long now) {
        if (asked.size() >= MOST_ASKED) {
            host.close(asked.removeFirst());
        }
        Call c = host.begin(address);
        c.until = now + PATIENCE;
        c.late = now + ANSWER + random.nextLong(ANSWER_SPREAD);
        asked.addLast(c);
    }
}
