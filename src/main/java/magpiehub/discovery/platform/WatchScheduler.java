package magpiehub.discovery.platform;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Schedules the watches of the platform's endpoint list: which calls are open, and which of them counts. One
 * watch is established, that is, has delivered data; calls that are to replace it are pending. A call that may
 * hang for good always gets another one beside it, so that a list that can be had is in force within 6 s. A
 * failed call is not repeated here: the dispatcher backs off and requests the next one.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
final class WatchScheduler {
    /**
     * Discovery writes at least an empty line each 2 s. A watch that is late by a quarter of that is followed
     * by another, somewhere within the next {@link #LATE_SPREAD_MICROS}, so that the routers of a fleet whose
     * watches fall silent together do not call in one moment.
     */
    private static final long LATE_MICROS = 2_500_000;

    private static final long LATE_SPREAD_MICROS = 1_500_000;
    /**
     * A call that has delivered nothing is followed by another one beside it after this time. It stays open, for
     * its answer may wait in discovery's queue, and its place there is not to be lost.
     */
    private static final long FIRST_DATA_MICROS = 2_000_000;

    private static final long FIRST_DATA_SPREAD_MICROS = 500_000;
    /**
     * Pending calls at most: beyond, the oldest is closed. It has then waited longer than discovery lets calls
     * wait.
     */
    private static final int MAX_PENDING = 2;
    /** A call that delivers nothing for this time has failed. */
    static final long TIMEOUT_MICROS = 5_000_000;

    /** One call; the transport extends it. */
    static class Call {
        final String address;
        private long failsAtMicros;
        /** When another call is opened beside it; {@link Long#MAX_VALUE} once that was done. */
        private long lateAtMicros;

        Call(String address) {
            this.address = address;
        }

        private boolean isLate() {
            return lateAtMicros == Long.MAX_VALUE;
        }
    }

    /** Opens and closes the calls, and is told how they fare. */
    interface Transport {
        /** Opens a call to an address. */
        Call open(String address);

        void close(Call call);

        /** A call has delivered nothing for too long; another one is opened beside it. */
        void onLate(Call call, boolean established);

        /** A call that has waited for longer than any other is given up, without an answer. */
        void onGivenUp(Call call);

        /** No call is left that may still succeed: the dispatcher is to request a watch again in its time. */
        void onFailure(Call call, String reason);
    }

    private final Transport transport;
    private final SplittableRandom random;
    private String address;
    /** The watch in force: at another address or silent, it counts until a newer one has delivered data. */
    private Call established;
    /** Calls that have delivered nothing, oldest first. */
    private final ArrayDeque<Call> pending = new ArrayDeque<>(MAX_PENDING + 1);

    WatchScheduler(String address, Transport transport, long seed) {
        this.address = address;
        this.transport = transport;
        this.random = new SplittableRandom(seed);
    }

    /** Where the next call goes. */
    String address() {
        return address;
    }

    /** Opens a watch unless one is pending that may still succeed. */
    void requestWatch(long nowMicros) {
        if (pending.isEmpty() || pending.getLast().isLate()) {
            open(nowMicros);
        }
    }

    /**
     * Changes discovery's address, and calls it there at once: the end of the watch at the old address would
     * come too late.
     *
     * @return false if that was the address already
     */
    boolean changeAddress(String to, long nowMicros) {
        if (to.equals(address)) {
            return false;
        }
        address = to;
        closePending();
        open(nowMicros);
        return true;
    }

    /** Closes all calls. */
    void closeAll() {
        closePending();
        if (established != null) {
            transport.close(established);
        }
        established = null;
    }

    /** Whether what a call delivers counts. */
    boolean isOpen(Call call) {
        return call == established || pending.contains(call);
    }

    /** Whether a call keeps the list current: it is established, at discovery's address, and never fell silent. */
    boolean isReliable(Call call) {
        return call == established && !call.isLate() && call.address.equals(address);
    }

    /** Whether the established watch is not to be relied on, and no other one is pending. */
    boolean lacksReliableWatch() {
        return established != null
                && pending.isEmpty()
                && (established.isLate() || !established.address.equals(address));
    }

    /** An open call has delivered data. With its first data it is established, and all others are closed. */
    void onData(Call call, long nowMicros) {
        call.failsAtMicros = nowMicros + TIMEOUT_MICROS;
        if (call == established && call.isLate()) {
            return; // It had fallen silent once: the call that is to replace it stays open.
        }
        call.lateAtMicros = nowMicros + LATE_MICROS + random.nextLong(LATE_SPREAD_MICROS);
        if (call != established) {
            pending.remove(call);
            closeAll();
            established = call;
        }
    }

    /** An open call has ended. */
    void onEnded(Call call, String reason) {
        boolean newest = call == pending.peekLast();
        pending.remove(call);
        transport.close(call);
        boolean wasEstablished = call == established;
        established = wasEstablished ? null : established;
        // A call older than another one has only reported what that one will report.
        if (newest || (wasEstablished && pending.isEmpty())) {
            transport.onFailure(call, reason);
        }
    }

    /** When {@link #onTimer} is due next; {@link Long#MAX_VALUE} if never. */
    long nextTimerMicros() {
        long next =
                established == null ? Long.MAX_VALUE : Math.min(established.failsAtMicros, established.lateAtMicros);
        for (Call call : pending) {
            next = Math.min(next, Math.min(call.failsAtMicros, call.lateAtMicros));
        }
        return next;
    }

    /** Ends the calls that have timed out, and opens others beside those that are late. */
    void onTimer(long nowMicros) {
        Call[] waiting = pending.toArray(new Call[0]);
        for (Call call : waiting) {
            if (call.failsAtMicros <= nowMicros) {
                onEnded(call, "silent");
            }
        }
        if (established != null && established.failsAtMicros <= nowMicros) {
            onEnded(established, "silent");
        }
        if (established != null && established.lateAtMicros <= nowMicros) {
            established.lateAtMicros = Long.MAX_VALUE;
            transport.onLate(established, true);
            requestWatch(nowMicros);
        }
        Call newest = pending.peekLast();
        if (newest != null && newest.lateAtMicros <= nowMicros) {
            newest.lateAtMicros = Long.MAX_VALUE;
            transport.onLate(newest, false);
            open(nowMicros);
        }
    }

    private void open(long nowMicros) {
        if (pending.size() >= MAX_PENDING) {
            Call oldest = pending.removeFirst();
            transport.close(oldest);
            transport.onGivenUp(oldest);
        }
        Call call = transport.open(address);
        call.failsAtMicros = nowMicros + TIMEOUT_MICROS;
        call.lateAtMicros = nowMicros + FIRST_DATA_MICROS + random.nextLong(FIRST_DATA_SPREAD_MICROS);
        pending.addLast(call);
    }

    private void closePending() {
        pending.forEach(transport::close);
        pending.clear();
    }
}
