package magpiehub.config;

/**
 * The keys of a site's settings, each with its type or unit and its default. Times are numbers in milliseconds and may
 * have fractions; shares and factors are plain numbers. "Not used" marks what is read and checked but changes nothing.
 */
final class SettingsKeys {
    // The router among its peers.

    /** This router's index among the routers; number; default 0. */
    static final String ROUTER_INDEX = "me";
    /** How many routers share the upstreams; number; default 1, which is also the least. */
    static final String ROUTER_COUNT = "instances";
    /** The index of this router's zone; number; default 0. */
    static final String OWN_ZONE = "myZone";
    /** The names of the zones; texts; default none. */
    static final String ZONES = "zones";
    /** The names of the machine types; texts; default none. */
    static final String MACHINE_TYPES = "machineTypes";
    /** {@code subscribe}: the router polls for the endpoint list; any other: it is sent; default {@code automatic}. */
    static final String MEMBERSHIP_MODE = "membershipMode";

    static final String MEMBERSHIP_AUTOMATIC = "automatic";
    static final String MEMBERSHIP_SUBSCRIBE = "subscribe";
    /** What an endpoint's weight means: {@code none}, {@code nominal}, {@code rough} or {@code live}; default none. */
    static final String WEIGHTS = "weights";
    /** The worth of a request beyond its tenant's allowance, relative to one within it; factor; default 1. */
    static final String OVER_SHARE_WORTH = "overShareWorth";

    // Language models: "familyInfo".

    /** The next three keys; object. */
    static final String FAMILY_INFO = "familyInfo";
    /** Whether a client asks for the rest of a stream that broke off; truth value; default false. */
    static final String RESUME = "resume";
    /** What the aim grows by for each 1,000 prompt tokens; microseconds, one number a class; default 0. */
    static final String AIM_PER_1000_PROMPT_TOKENS = "aimUsPer1000PromptTokens";
    /** The wanted time between two tokens; ms, one number a class; default 0. Not used. */
    static final String TOKEN_AIMS_MS = "tokenAimMs";

    // Request classes: "classes".

    /** The request classes; objects with the next ten keys; default none. */
    static final String CLASSES = "classes";
    /** The name of a class or a tenant; text; default empty. */
    static final String NAME = "name";
    /** What repeating a request does: {@code pure}, {@code token} or {@code side_effect}; default pure. */
    static final String EFFECT = "effect";

    static final String EFFECT_PURE = "pure";
    /** Which upstreams drop repeats of one idempotency key: {@code all}, {@code zone} or {@code cell}; default all. */
    static final String GROUP = "group";

    static final String GROUP_ALL = "all";
    /** How long upstreams remember an idempotency key; ms; default 0. */
    static final String WINDOW_MS = "windowMs";
    /** Whether responses are streams; truth value; default false. */
    static final String STREAM = "stream";
    /** The latency objective: the wanted time to the first token; ms; default 0. */
    static final String AIM_MS = "aimMs";
    /** Part of the latency objective; number; default 0. Not used. */
    static final String AIM_STRETCH = "aimStretch";
    /** When a request is given up; ms; default 0 in the simulator, required in a router. */
    static final String DEADLINE_MS = "deadlineMs";
    /** What a response in time is worth; number; default 1. */
    static final String GAIN = "gain";
    /** The part of the gain that a response after its objective has; share; default 0. */
    static final String LATE_SHARE = "lateShare";

    // Tenants: "accounts".

    /** The tenants; objects with {@link #NAME} and the next two keys; default none. */
    static final String ACCOUNTS = "accounts";
    /** The tenant's part of the traffic; share; default 0. Not used. */
    static final String SHARE = "share";
    /** The requests per second that all routers together admit at full worth; number; default 0: no limit. */
    static final String ALLOWANCE_PER_SECOND = "allowancePerS";

    // What the site permits: "limits".

    /** The next ten keys; object. */
    static final String LIMITS = "limits";
    /** Whether an attempt may be cancelled; truth value; default false. */
    static final String CANCEL = "cancel";
    /** Whether the router may send health checks; truth value; default false. */
    static final String PROBES = "probes";
    /** Whether routers may send each other messages; truth value; default false. Not used. */
    static final String PEERS = "peers";
    /** Whether attempts of one request may overlap; truth value; default false. */
    static final String PARALLEL_ATTEMPTS = "parallelTries";
    /** Whether a rejected client is told when to come back; truth value; default false. */
    static final String RETRY_AFTER = "retryAfter";
    /** The attempts for one request; number; default 1 in the simulator, required in a router. */
    static final String MAX_ATTEMPTS = "mostTries";
    /** The requests that a router may have in flight; number; default 1,000,000. */
    static final String MAX_IN_FLIGHT = "mostHeld";

    static final double DEFAULT_MAX_IN_FLIGHT = 1e6;
    /** The longest time that a rejected client may be told to wait; ms; default 0. */
    static final String MAX_RETRY_AFTER_MS = "maxRetryAfterMs";
    /** When connecting to an upstream is given up; ms; default {@value #DEFAULT_CONNECT_TIMEOUT_MS}. */
    static final String CONNECT_TIMEOUT_MS = "connectTimeoutMs";

    static final int DEFAULT_CONNECT_TIMEOUT_MS = 250;
    /** How long upstreams keep an idle connection open; ms; default {@value #DEFAULT_IDLE_CLOSE_MS}. */
    static final String IDLE_CLOSE_MS = "idleCloseMs";

    static final int DEFAULT_IDLE_CLOSE_MS = 30_000;

    // What every router must keep to: "guarantees".

    /** The next seven keys; object. */
    static final String GUARANTEES = "guarantees";
    /** How long after its deadline a request may still be answered; ms; default 0. Not used. */
    static final String ANSWER_SLACK_MS = "answerSlackMs";
    /** The longest time between two polls of the endpoint list; ms; default {@value #DEFAULT_POLL_WITHIN_MS}. */
    static final String POLL_WITHIN_MS = "askWithinMs";

    static final int DEFAULT_POLL_WITHIN_MS = 10_000;
    /** How long an upstream warms up after its start; ms; default 0. */
    static final String WARM_UP_MS = "coldMs";
    /** The window for which a warming upstream has a budget of requests; ms; default {@value #DEFAULT_FALL_MS}. */
    static final String FALL_MS = "fallMs";

    static final int DEFAULT_FALL_MS = 1000;
    /** The multiple of its due that overloads a warming upstream; factor; default {@value #DEFAULT_OVERLOAD_FACTOR}. */
    static final String OVERLOAD_FACTOR = "overloadFactor";

    static final int DEFAULT_OVERLOAD_FACTOR = 2;
    /** The capacity of an upstream at its start, as a part of its full one; share; default 1. */
    static final String START_CAPACITY = "startCapacity";
    /** How soon a draining upstream must get no more requests; ms; default 0. Not used: it gets none at once. */
    static final String STOP_SENDING_WITHIN_MS = "stopSendingWithinMs";

    // What costs service, as parts of a request's gain: "costs".

    /** The next six keys; object; each a number with default 0. */
    static final String COSTS = "costs";
    /** Of an attempt in another zone. */
    static final String CROSS_ZONE = "crossZone";
    /** Of an attempt whose result nobody needs. Not used. */
    static final String WASTE = "waste";
    /** Of a health check. Not used. */
    static final String PROBE = "probe";
    /** Of a failure that comes late. Not used. */
    static final String LATE_FAILURE = "lateFail";
    /** Of an open connection. */
    static final String CONNECTION = "connection";
    /** Of opening a connection. */
    static final String HANDSHAKE = "handshake";

    // Load reports: "telemetry".

    /** The next two keys; object. */
    static final String TELEMETRY = "telemetry";
    /** What carries load reports: {@code none}, {@code answers} or {@code probe}; default none. */
    static final String REPORT_SOURCE = "how";

    static final String REPORT_SOURCE_NONE = "none";
    static final String REPORT_SOURCE_RESPONSES = "answers";
    static final String REPORT_SOURCE_HEALTH_CHECKS = "probe";
    /** The names of the fields that a report has; texts; default none. */
    static final String REPORT_FIELDS = "fields";

    private SettingsKeys() {}
}
