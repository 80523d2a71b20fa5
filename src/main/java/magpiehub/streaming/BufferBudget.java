package magpiehub.streaming;

import java.util.ArrayList;
import java.util.List;

/**
 * One byte budget for all streams together. It owns what each stream has between its engine's socket and its
 * client's: every byte is counted once, when it has come from the engine, until the client's socket has taken
 * it. It is a plain state machine: it must never do I/O, read a clock or wait. An instance belongs to one
 * lock or one thread.
 *
 * <p>A stream is <em>in step</em> while it holds no more than {@link #STEP} bytes, or has held more for less
 * than {@link #GRACE}. Where bytes run short, a stream in step is never ended: the one that is furthest
 * behind for longest is, by bytes held times the time since it fell behind.
 */
public final class BufferBudget {
    /** What a stream that keeps up may hold (bytes): a few events, and what one write takes. */
    public static final int STEP = 48 * 1024;
    /** A stream that fell behind only now has not had the time to catch up (us). */
    public static final long GRACE = 500_000;
    /** What is kept back for each stream (bytes). */
    static final int PLEDGE = 8 * 1024;

    private static final long NEVER = Long.MAX_VALUE;

    /** One stream's part. */
    public static final class Account {
        /** Whose part it is. */
        final Object owner;

        private final long allowance;
        private long held;
        private long passed;
        private long came;
        /** When the client's socket last took bytes, or the first of those that wait came (us). */
        private long movedAt;

        private long behindSince = NEVER;
        private boolean closed;

        private Account(Object owner, long allowance, long now) {
            this.owner = owner;
            this.allowance = allowance;
            this.movedAt = now;
        }

        /** Bytes that the client's socket has not taken. */
        public long held() {
            return held;
        }

        /** Bytes that the client's socket has taken. */
        public long passed() {
            return passed;
        }

        /** Bytes that have come from the engine. */
        public long came() {
            return came;
        }

        /** How long nothing has moved towards the client though bytes wait (us); 0 if none wait. */
        public long stuckFor(long now) {
            return held == 0 || closed ? 0 : Math.max(0, now - movedAt);
        }

        /** How long this stream has been out of step (us); 0 if it is in step. */
        public long behindFor(long now) {
            return behindSince == NEVER || now - behindSince < GRACE ? 0 : now - behindSince;
        }
    }

    private final long total;
    private final List<Account> open = new ArrayList<>();
    private long held;
    private long most;

    /** A budget of so many bytes. */
    public BufferBudget(long total) {
        if (total < STEP) {
            throw new IllegalArgumentException("a budget below one stream's step");
        }
        this.total = total;
    }

    /** Bytes held by all streams; the most there ever were. */
    public long held() {
        return held;
    }

    public long most() {
        return most;
    }

    public long total() {
        return total;
    }

    /** Whether one more stream may begin: what streams in step hold, or a little for each of them and for the
     *  new one, must fit. What readers behind hold does not count: room is made by ending them. */
    public boolean admits(long now) {
        long pledged = PLEDGE;
        for (Account a : open) {
            pledged += a.behindFor(now) > 0 ? 0 : Math.max(a.held, PLEDGE);
        }
        return pledged <= total;
    }

    /** A stream that may hold so many bytes of its own. */
    public Account open(Object owner, long allowance, long now) {
        Account a = new Account(owner, allowance, now);
        open.add(a);
        return a;
    }

    /** Whether the engine's next bytes may be read now; else the engine waits. */
    public boolean room(Account a) {
        return a.closed || (a.held < a.allowance && (held < total || a.held < STEP / 4));
    }

    /** Bytes have come from the engine. */
    public void came(Account a, int bytes, long now) {
        if (a.closed) {
            return;
        }
        if (a.held == 0) {
            a.movedAt = now;
        }
        a.came += bytes;
        a.held += bytes;
        held += bytes;
        most = Math.max(most, held);
        if (a.held > STEP && a.behindSince == NEVER) {
            a.behindSince = now;
        }
    }

    /** Bytes were taken by the client's socket. */
    public void passed(Account a, long bytes, long now) {
        if (!a.closed) {
            less(a, bytes);
            a.passed += bytes;
            a.movedAt = now;
        }
    }

    /** Bytes that had come were let go of: an attempt that the client never saw. */
    public void dropped(Account a, long bytes, long now) {
        if (!a.closed) {
            less(a, bytes);
        }
    }

    private void less(Account a, long bytes) {
        if (bytes < 0 || bytes > a.held) {
            throw new IllegalStateException(bytes + " bytes taken of " + a.held);
        }
        a.held -= bytes;
        held -= bytes;
        if (a.held <= STEP) {
            a.behindSince = NEVER;
        }
    }

    /** The stream is over; what it held is free. */
    public void close(Account a) {
        if (!a.closed) {
            a.closed = true;
            held -= a.held;
            open.remove(a);
        }
    }

    /** The stream to end since bytes are short; null if they are not, or all are in step. */
    public Account victim(long now) {
        if (held < total) {
            return null;
        }
        Account worst = null;
        double most = 0;
        for (Account a : open) {
            double far = (double) a.held * a.behindFor(now);
            if (far > most) {
                most = far;
                worst = a;
            }
        }
        return worst;
    }
}
