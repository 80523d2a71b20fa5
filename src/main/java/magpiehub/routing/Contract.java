package magpiehub.routing;

import java.util.List;

/**
 * The vocabulary between the decision module ({@link Rules}) and whatever hosts it: a node of the users'
 * own, the wire adapter ({@link Drill}), or a test. Events go in, actions come out, nothing else passes.
 *
 * <p>Every time and duration is a {@code long} in microseconds. The host's clock has no special start and
 * may only go forward; a clock that steps back is read as standing still. Ids are opaque strings. A missing
 * number is 0, a missing report value is NaN.
 */
public final class Contract {

    private Contract() {}

    /** What a repeat of a request does. */
    public enum Effect {
        /** Harmless to repeat. */
        PURE,
        /** Repeats are dropped by one group of servers, for a time. */
        TOKEN,
        /** Never safe to repeat unless it is known that it did not run. */
        SIDE_EFFECT
    }

    /** Which servers drop repeats of a keyed request. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How one attempt ended. */
    public enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true),
        /** An answer came that can't be read. */
        SPOILT(false);

        /** True if the outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What a server list is. */
    public enum ListKind {
        CHANGES,
        COMPLETE,
        SAVED,
        ERROR
    }

    /** State of a server as the list has it. */
    public enum State {
        LIVE,
        DRAINING,
        DEAD
    }

    /** What the list's weight means. */
    public enum Weights {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of requests.
     *
     * @param aim wanted time to the first token; {@code aimPer1000} is added for each 1,000 prompt tokens
     * @param window how long servers remember a keyed request
     */
    public record RequestClass(
            String name,
            Effect effect,
            Group group,
            long window,
            boolean stream,
            long aim,
            long aimPer1000,
            double aimStretch,
            long deadline,
            long tokenAim,
            double worth,
            double lateShare) {}

    /** A tenant; {@code allowancePerS} is for all nodes together. */
    public record Tenant(String name, double share, double allowancePerS) {}

    /** What the site permits. */
    public record Limits(
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean parallel,
            boolean retryAfter,
            int mostAttempts,
            int mostHeld,
            long maxRetryAfter,
            long connectTimeout) {}

    /** Figures of the rules that every node must keep by itself. */
    public record Guarantees(
            long answerSlack,
            long askWithin,
            long cold,
            long fall,
            double overloadFactor,
            double startCapacity,
            long stopSendingWithin) {}

    /** Prices of the things that cost service, as parts of it. */
    public record Costs(
            double crossZone, double waste, double probe, double lateFail, double connection, double handshake) {}

    /** Everything a node is told when it starts. */
    public record Settings(
            int me,
            int instances,
            int myZone,
            int zones,
            boolean subscribe,
            boolean resume,
            Weights weights,
            double overShareWorth,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Guarantees guarantees,
            Costs costs) {}

    /** An entry of the server list. {@code onlineSince} is 0 if it started long ago. */
    public record Server(String id, int zone, int kind, int cell, State state, double weight, long onlineSince) {}

    /** A client's request. {@code session} and {@code prefix} are 0 when absent. */
    public record Request(
            String id,
            int cls,
            int tenant,
            long session,
            long prefix,
            long deadline,
            double work,
            double promptTokens,
            double prefixTokens,
            double maxOut,
            boolean retry,
            boolean write,
            boolean again) {}

    /** A server's own load report; NaN where the site or the report lacks a value. */
    public record Load(
            double inflight,
            double queue,
            double util,
            double latencyMs,
            double qps,
            double eps,
            double x0,
            double x1) {}

    /** What a node may be told. {@code load} is null where no report came. */
    public interface Events {
        /** Discovery's word on the servers; {@code servers} is empty for {@link ListKind#ERROR}. */
        void list(long now, ListKind kind, List<Server> servers);

        /** A client's request has come; exactly one final answer is owed. */
        void request(long now, Request request);

        /** A stream has started: the attempt belongs to the client now. */
        void begun(long now, String id, int attempt, long took);

        /** An attempt has ended; {@code settled} if the request is over. {@code kept} is -1 if not told. */
        void outcome(
                long now, String id, int attempt, Outcome outcome, long took, boolean settled, long kept, Load load);

        /** The client is gone; nothing more is owed. */
        void abandoned(long now, String id);

        /** A timer set by {@link Actions#timer} has come due. */
        void timer(long now, long token);

        /** A probe has come back. */
        void probed(long now, String server, Outcome outcome, long took, Load load);

        /** Other settings hold from now on. Classes and tenants keep their places, new ones come behind. */
        void settings(long now, Settings settings);

        /** Another node of the tier has sent a message. */
        void message(long now, int peer, byte[] payload);
    }

    /** What a node may do. */
    public interface Actions {
        /** Starts the next attempt of a request; a time-out of 0 lasts until the client gives up. */
        void send(String id, String server, long timeout);

        /** Stops waiting for an attempt. */
        void cancel(String id, int attempt);

        /** Final answer: turned away, a retry is harmless. */
        void refuse(String id, long retryAfter);

        /** Final answer: failed, with no promise about effects. */
        void fail(String id);

        /** Asks for list changes from now on. */
        void watch();

        /** Asks for a timer event at a time. */
        void timer(long at, long token);

        /** Probes a server. */
        void probe(String server);

        /** Ends a running stream cleanly where the site can resume it elsewhere. */
        void move(String id);

        /** Asks for the whole list once. */
        void fetch();

        /** Stops asking for list changes. */
        void unwatch();

        /** Closes the idle connections to a server. */
        void close(String server);

        /** Sends at most 256 bytes to one peer, or to all if {@code peer} is negative. */
        void tell(int peer, byte[] payload);

        /** A line for the operators. */
        void log(String text);
    }
}
