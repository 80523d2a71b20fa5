package magpiehub.config;

/**
 * The keys of a site's settings, each with its type or unit and its default. Times are numbers in milliseconds and may
 * have fractions; fractions (from 0 to 1) and factors are plain numbers. "Not used" marks values that are parsed but
 * have no effect.
 */
final class SettingsKeys {
    // The router and its peers.

    /** This router's index among the routers; number; default 0. */
    static final String ROUTER_INDEX = "me";
    /** The number of routers that share the upstreams; number; default 1, which is also the minimum. */
    static final String ROUTER_COUNT = "instances";
    /** The index of this router's zone; number; default 0. */
    static final String OWN_ZONE = "myZone";
    /** The names of the zones; strings; default none. */
    static final String ZONES = "zones";
    /** The names of the machine types; strings; default none. */
    static final String MACHINE_TYPES = "machineTypes";
    /**
     * How the router gets the endpoint list; string; {@code subscribe}: it polls for it, any other value: the list is
     * sent to it; default {@code automatic}.
     */
    static final String MEMBERSHIP_MODE = "membershipMode";

    static final String MEMBERSHIP_AUTOMATIC = "automatic";
    static final String MEMBERSHIP_SUBSCRIBE = "subscribe";
    /** What an endpoint's weight means: {@code none}, {@code nominal}, {@code rough} or {@code live}; default none. */
    static final String WEIGHTS = "weights";
    /** The value of a request beyond its tenant's quota, relative to one within it; factor; default 1. */
    static final String OVER_QUOTA_WEIGHT = "overShareWorth";

    // Language models: "familyInfo".

    /** The next three keys; object. */
    static final String LANGUAGE_MODELS = "familyInfo";
    /** Whether clients request the rest of an interrupted stream; boolean; default false. */
    static final String STREAM_RESUMPTION = "resume";
    /** What 1,000 prompt tokens add to the latency objective; microseconds, one number per class; default 0. */
    static final String LATENCY_OBJECTIVES_PER_1000_PROMPT_TOKENS_MICROS = "aimUsPer1000PromptTokens";
    /** The objective for the time between two tokens; ms, one number per class; default 0. Not used. */
    static final String TOKEN_INTERVAL_OBJECTIVES_MS = "tokenAimMs";

    // Request classes: "classes".

    /** The request classes; objects with the next ten keys; default none. */
    static final String CLASSES = "classes";
    /** The name of a class or a tenant; string; default empty. */
    static final String NAME = "name";
    /**
     * The idempotency of requests: {@code pure} (idempotent), {@code token} (idempotent with a key) or
     * {@code side_effect} (not idempotent); default pure.
     */
    static final String IDEMPOTENCY = "effect";

    static final String IDEMPOTENCY_PURE = "pure";
    /**
     * Which upstreams deduplicate requests by idempotency key: {@code all}, {@code zone} or {@code cell}; default all.
     */
    static final String DEDUPLICATION_SCOPE = "group";

    static final String DEDUPLICATION_SCOPE_ALL = "all";
    /** How long upstreams remember an idempotency key; ms; default 0. */
    static final String DEDUPLICATION_WINDOW_MS = "windowMs";
    /** Whether responses are streams; boolean; default false. */
    static final String STREAM = "stream";
    /** The latency objective, for the time to the first token; ms; default 0. */
    static final String LATENCY_OBJECTIVE_MS = "aimMs";
    /** Part of the latency objective; number; default 0. Not used. */
    static final String LATENCY_OBJECTIVE_STRETCH = "aimStretch";
    /** The deadline of a request; ms; default 0 in the simulator, required in a router. */
    static final String DEADLINE_MS = "deadlineMs";
    /** The value of a response within its objective; number; default 1. */
    static final String PRIORITY_WEIGHT = "gain";
    /** The fraction of that value that a later response has; fraction; default 0. */
    static final String LATE_ANSWER_VALUE = "lateShare";

    // Tenants: "accounts".

    /** The tenants; objects with {@link #NAME} and the next two keys; default none. */
    static final String TENANTS = "accounts";
    /** The tenant's fraction of the traffic; fraction; default 0. Not used. */
    static final String TENANT_SHARE = "share";
    /** The requests per second that all routers together admit at full value; number; default 0: no quota. */
    static final String QUOTA_PER_SECOND = "allowancePerS";

    // What the site allows: "limits".

    /** The next ten keys; object. */
    static final String LIMITS = "limits";
    /** Whether attempts may be cancelled; boolean; default false. */
    static final String CANCELLATION = "cancel";
    /** Whether the router may send health checks; boolean; default false. */
    static final String HEALTH_CHECKS = "probes";
    /** Whether routers may send messages to each other; boolean; default false. Not used. */
    static final String PEER_MESSAGES = "peers";
    /** Whether attempts of one request may overlap; boolean; default false. */
    static final String PARALLEL_ATTEMPTS = "parallelTries";
    /** Whether a rejection tells the client when to retry; boolean; default false. */
    static final String RETRY_AFTER = "retryAfter";
    /** The most attempts for one request; number; default 1 in the simulator, required in a router. */
    static final String MAX_ATTEMPTS = "mostTries";
    /** The most requests that a router may have in flight; number; default 1,000,000. */
    static final String MAX_IN_FLIGHT = "mostHeld";

    static final double DEFAULT_MAX_IN_FLIGHT = 1e6;
    /** The longest time after which a rejected client may be told to retry; ms; default 0. */
    static final String MAX_RETRY_AFTER_MS = "maxRetryAfterMs";
    /** The timeout for connecting to an upstream; ms; default {@value #DEFAULT_CONNECT_TIMEOUT_MS}. */
    static final String CONNECT_TIMEOUT_MS = "connectTimeoutMs";

    static final int DEFAULT_CONNECT_TIMEOUT_MS = 250;
    /** How long upstreams keep an idle connection open; ms; default {@value #DEFAULT_IDLE_CLOSE_MS}. */
    static final String IDLE_CLOSE_MS = "idleCloseMs";

    static final int DEFAULT_IDLE_CLOSE_MS = 30_000;

    // Rules that every router must follow: "guarantees".

    /** The next seven keys; object. */
    static final String GUARANTEES = "guarantees";
    /** How long after its deadline a request may still be answered; ms; default 0. Not used. */
    static final String ANSWER_SLACK_MS = "answerSlackMs";
    /** The longest time between two polls of the endpoint list; ms; default {@value #DEFAULT_POLL_WITHIN_MS}. */
    static final String POLL_WITHIN_MS = "askWithinMs";

    static final int DEFAULT_POLL_WITHIN_MS = 10_000;
    /** How long an upstream takes to warm up after its start; ms; default 0. */
    static final String WARM_UP_MS = "coldMs";
    /**
     * The window over which requests to a warming upstream are counted; ms; default
     * {@value #DEFAULT_OVERLOAD_WINDOW_MS}.
     */
    static final String OVERLOAD_WINDOW_MS = "fallMs";

    static final int DEFAULT_OVERLOAD_WINDOW_MS = 1000;
    /**
     * The multiple of its current capacity that overloads a warming upstream; factor; default
     * {@value #DEFAULT_OVERLOAD_FACTOR}.
     */
    static final String OVERLOAD_FACTOR = "overloadFactor";

    static final int DEFAULT_OVERLOAD_FACTOR = 2;
    /** The capacity of an upstream at its start, as a fraction of its full capacity; fraction; default 1. */
    static final String INITIAL_CAPACITY = "startCapacity";
    /**
     * How soon a draining upstream must no longer receive requests; ms; default 0. Not used: the router stops sending
     * at once.
     */
    static final String STOP_SENDING_WITHIN_MS = "stopSendingWithinMs";

    // Costs, as fractions of the value of a request: "costs".

    /** The next six keys; object; each a number with default 0. */
    static final String COSTS = "costs";
    /** The cost of an attempt in another zone. */
    static final String CROSS_ZONE = "crossZone";
    /** The cost of an attempt whose result is not needed. Not used. */
    static final String UNUSED_ATTEMPT = "waste";
    /** The cost of a health check. Not used. */
    static final String HEALTH_CHECK = "probe";
    /** The cost of a request that fails at its deadline instead of at once. Not used. */
    static final String LATE_FAILURE = "lateFail";
    /** The cost of an open connection. */
    static final String CONNECTION = "connection";
    /** The cost of opening a connection. */
    static final String HANDSHAKE = "handshake";

    // Load reports: "telemetry".

    /** The next two keys; object. */
    static final String TELEMETRY = "telemetry";
    /**
     * Which responses carry load reports: {@code none}, {@code answers} (all responses) or {@code probe} (those to
     * health checks); default none.
     */
    static final String REPORT_SOURCE = "how";

    static final String REPORT_SOURCE_NONE = "none";
    static final String REPORT_SOURCE_RESPONSES = "answers";
    static final String REPORT_SOURCE_HEALTH_CHECKS = "probe";
    /** The names of a report's fields; strings; default none. */
    static final String REPORT_FIELDS = "fields";

    private SettingsKeys() {}
}
