package magpiehub.routing;

/**
 * Decides whether a request may have another attempt, and at which replicas: by its idempotency, by what earlier
 * attempts may have done, and out of a retry budget that requests earn.
 */
final class RetryPolicy {
    /** Attempts for one request at most, whatever the site allows. */
    private static final int MAX_ATTEMPTS = 4;

    /** Retry budget: what a request earns, the most that is saved, and the cost of an error that came at once. */
    private static final double EARNED_PER_REQUEST = 0.15;

    private static final double MAX_BUDGET = 10;
    private static final double FULL_COST = 1;
    private static final double QUICK_ERROR_COST = 0.25;

    /** An error within this time (us) came at once: the replica did little for it. */
    private static final long QUICK_ERROR_MICROS = RoutingTick.PERIOD_MICROS;

    /** With less time to its deadline (us) a request is not sent again. */
    private static final long LEAST_TIME_LEFT_MICROS = RoutingTick.PERIOD_MICROS;

    private final ActiveSettings settings;
    private final OverloadDetector overload;
    private double budget = MAX_BUDGET;

    RetryPolicy(ActiveSettings settings, OverloadDetector overload) {
        this.settings = settings;
        this.overload = overload;
    }

    /** A request has come and earns its part of the budget. */
    void recordRequest() {
        budget = Math.min(MAX_BUDGET, budget + EARNED_PER_REQUEST);
    }

    /** Whether a request may be sent again after an attempt has ended; true takes the cost out of the budget. */
    boolean acquireRetry(RequestInFlight request, Attempt attempt, AttemptOutcome outcome, long took, long now) {
        if (!isRetryable(request, attempt, outcome) || !isWorthwhile(request, outcome, now)) {
            return false;
        }
        double cost = cost(attempt, outcome, took);
        if (budget < cost) {
            return false;
        }
        budget -= cost;
        return true;
    }

    private boolean isRetryable(RequestInFlight request, Attempt attempt, AttemptOutcome outcome) {
        return !request.isStreaming()
                && outcome != AttemptOutcome.MOOT
                && (outcome != AttemptOutcome.CANCELLED || attempt.isGivenUp())
                && request.attemptCount()
                        < Math.min(
                                MAX_ATTEMPTS, request.maxAttempts(settings.get().limits()));
    }

    private boolean isWorthwhile(RequestInFlight request, AttemptOutcome outcome, long now) {
        if (request.request().deadline() - now < LEAST_TIME_LEFT_MICROS) {
            return false;
        }
        RequestClass requestClass = classOf(request);
        double objective = requestClass.firstTokenObjective(request.request().promptTokens());
        if (now - request.arrivedAt() > objective && requestClass.lateAnswerValue() <= 0) {
            return false;
        }
        // While the fleet is overloaded, a full replica's request waits with its client: its tokens are cached there,
        // and elsewhere it would be computed anew and push the next replica over.
        return outcome != AttemptOutcome.FULL || !overload.isOverloaded();
    }

    private static double cost(Attempt attempt, AttemptOutcome outcome, long took) {
        // At a zone that is lost nothing runs: what is given up there costs nobody a second time.
        if (outcome == AttemptOutcome.CONNECT_FAILED || attempt.isGivenUp()) {
            return 0;
        }
        return outcome != AttemptOutcome.FULL && took < QUICK_ERROR_MICROS ? QUICK_ERROR_COST : FULL_COST;
    }

    /** Whether an attempt at a replica may be sent, after what earlier attempts did or may still do. */
    boolean allowsAttempt(RequestInFlight request, Replica replica, long now) {
        if (request.hasOpenAttempts() && !request.limits().allowsParallelAttempts()) {
            return false;
        }
        RequestClass requestClass = classOf(request);
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        Attempt earlier = request.earliestPossibleExecution();
        if (earlier == null) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && now - earlier.sentAt() < requestClass.deduplicationWindow()
                && recognisesRepeat(
                        requestClass.deduplicationScope(),
                        replica.endpoint(),
                        earlier.replica().endpoint());
    }

    /** Whether one replica recognises the key of a request that another may have executed. */
    private static boolean recognisesRepeat(DeduplicationScope scope, Endpoint one, Endpoint other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Whether a request may be answered as rejected: a retry by its client must be harmless. */
    boolean mayReject(RequestInFlight request) {
        if (!settings.get().hasClass(request.request().classIndex()) || request.wasNeverExecuted()) {
            return true;
        }
        RequestClass requestClass = classOf(request);
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    private RequestClass classOf(RequestInFlight request) {
        return settings.get().classes().get(request.request().classIndex());
    }
}
