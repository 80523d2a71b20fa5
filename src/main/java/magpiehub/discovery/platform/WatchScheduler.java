package magpiehub.discovery.platform;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Schedules the watch calls for the platform's endpoint list: decides which calls are open and which of them is in
 * use. At most one watch is established, that is, has delivered data; calls that may replace it are pending. A call
 * that may be hanging is hedged with another call, so that a list that discovery can deliver is in use within 6 s.
 * Failed calls are not retried here: the dispatcher backs off and requests the next one.
 *
 * <p>A state machine without I/O and without a clock; an instance belongs to one thread.
 */
final class WatchScheduler {
    /**
     * Discovery sends at least an empty line every 2 s. A watch whose heartbeat is late by a quarter of that is hedged
     * with another call, after a random delay of up to {@link #HEARTBEAT_JITTER_MICROS}, so that routers whose watches
     * fall silent together do not call discovery at the same moment.
     */
    private static final long HEARTBEAT_LATE_MICROS = 2_500_000;

    private static final long HEARTBEAT_JITTER_MICROS = 1_500_000;
    /**
     * A call that has delivered no data is hedged with another call after this time plus jitter. It stays open, so
     * that it keeps its place in discovery's queue.
     */
    private static final long FIRST_DATA_LATE_MICROS = 2_000_000;

    private static final long FIRST_DATA_JITTER_MICROS = 500_000;
    /**
     * The maximum number of pending calls. The oldest is closed to open another one; by then it has waited longer than
     * discovery lets calls wait.
     */
    private static final int MAX_PENDING = 2;
    /** A call that delivers no data for this time has failed. */
    static final long TIMEOUT_MICROS = 5_000_000;

    /** One call; extended by the transport. */
    static class Call {
        final String address;
        private long timesOutAtMicros;
        /** When the call is hedged with another one; {@link Long#MAX_VALUE} once that has been done. */
        private long lateAtMicros;

        Call(String address) {
            this.address = address;
        }

        private boolean isLate() {
            return lateAtMicros == Long.MAX_VALUE;
        }
    }

    /** Opens and closes the calls, and is notified of their failures. */
    interface Transport {
        /** Opens a call to an address. */
        Call open(String address);

        void close(Call call);

        /** A call has delivered no data for too long and is hedged with another one. */
        void onLate(Call call, boolean established);

        /** The oldest pending call was closed without a response because too many calls were pending. */
        void onAbandoned(Call call);

        /** No call is left that may still succeed; the dispatcher must request a watch again after its backoff. */
        void onFailure(Call call, String reason);
    }

    private final Transport transport;
    private final SplittableRandom random;
    private String address;
    /** The watch in use, even if it is silent or at an old address, until a newer one has delivered data. */
    private Call established;
    /** Calls that have delivered no data yet, oldest first. */
    private final ArrayDeque<Call> pending = new ArrayDeque<>(MAX_PENDING + 1);

    WatchScheduler(String address, Transport transport, long seed) {
        this.address = address;
        this.transport = transport;
        this.random = new SplittableRandom(seed);
    }

    /** The address of the next call. */
    String address() {
        return address;
    }

    /** Opens a watch unless a pending one may still succeed. */
    void requestWatch(long nowMicros) {
        if (pending.isEmpty() || pending.getLast().isLate()) {
            open(nowMicros);
        }
    }

    /**
     * Changes discovery's address and immediately opens a watch there, because waiting for the watch at the old address
     * to end would take too long.
     *
     * @return false if the address is unchanged
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

    /** Whether data that a call delivers is accepted. */
    boolean isOpen(Call call) {
        return call == established || pending.contains(call);
    }

    /** Whether a call keeps the list current: it is established, at the current address, and was never late. */
    boolean isReliable(Call call) {
        return call == established && !call.isLate() && call.address.equals(address);
    }

    /** Whether the established watch is not reliable and no other call is pending. */
    boolean lacksReliableWatch() {
        return established != null
                && pending.isEmpty()
                && (established.isLate() || !established.address.equals(address));
    }

    /** Handles data from an open call. With its first data, the call is established and all others are closed. */
    void onData(Call call, long nowMicros) {
        call.timesOutAtMicros = nowMicros + TIMEOUT_MICROS;
        if (call == established && call.isLate()) {
            return; // It was silent before, so the call that will replace it stays open.
        }
        call.lateAtMicros = nowMicros + HEARTBEAT_LATE_MICROS + random.nextLong(HEARTBEAT_JITTER_MICROS);
        if (call != established) {
            pending.remove(call);
            closeAll();
            established = call;
        }
    }

    /** Handles the end of an open call. */
    void onEnded(Call call, String reason) {
        boolean newest = call == pending.peekLast();
        pending.remove(call);
        transport.close(call);
        boolean wasEstablished = call == established;
        established = wasEstablished ? null : established;
        // The end of a call is not reported while a newer one is pending, which will report its own result.
        if (newest || (wasEstablished && pending.isEmpty())) {
            transport.onFailure(call, reason);
        }
    }

    /** When {@link #onTimer} is due next; {@link Long#MAX_VALUE} if never. */
    long nextTimerMicros() {
        long next =
                established == null ? Long.MAX_VALUE : Math.min(established.timesOutAtMicros, established.lateAtMicros);
        for (Call call : pending) {
            next = Math.min(next, Math.min(call.timesOutAtMicros, call.lateAtMicros));
        }
        return next;
    }

    /** Ends the calls that have timed out and hedges those that are late. */
    void onTimer(long nowMicros) {
        Call[] waiting = pending.toArray(new Call[0]);
        for (Call call : waiting) {
            if (call.timesOutAtMicros <= nowMicros) {
                onEnded(call, "silent");
            }
        }
        if (established != null && established.timesOutAtMicros <= nowMicros) {
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
            transport.onAbandoned(oldest);
        }
        Call call = transport.open(address);
        call.timesOutAtMicros = nowMicros + TIMEOUT_MICROS;
        call.lateAtMicros = nowMicros + FIRST_DATA_LATE_MICROS + random.nextLong(FIRST_DATA_JITTER_MICROS);
        pending.addLast(call);
    }

    private void closePending() {
        pending.forEach(transport::close);
        pending.clear();
    }
}
