package magpiehub.routing;

/**
 * Decides whether a request may have another attempt and at which replicas. This depends on its idempotency, on whether
 * earlier attempts may have been executed, and on a retry budget to which each request contributes.
 */
final class RetryPolicy {
    /** Maximum number of attempts per request, even if the site allows more. */
    private static final int MAX_ATTEMPTS = 4;

    /** Retry budget: contribution of a request, upper bound, cost of a retry, and of a retry after a quick error. */
    private static final double EARNED_PER_REQUEST = 0.15;

    private static final double MAX_BUDGET = 10;
    private static final double FULL_COST = 1;
    private static final double QUICK_ERROR_COST = 0.25;

    /** An error within this time counts as quick: the replica spent little work on the attempt. */
    private static final long QUICK_ERROR_MICROS = RoutingTick.PERIOD_MICROS;

    /** Minimum time to the deadline for a retry. */
    private static final long MIN_TIME_LEFT_MICROS = RoutingTick.PERIOD_MICROS;

    private final ActiveSettings settings;
    private final OverloadDetector overload;
    private double budget = MAX_BUDGET;

    RetryPolicy(ActiveSettings settings, OverloadDetector overload) {
        this.settings = settings;
        this.overload = overload;
    }

    /** Records a request, which adds to the budget. */
    void recordRequest() {
        budget = Math.min(MAX_BUDGET, budget + EARNED_PER_REQUEST);
    }

    /** Returns whether a request is retried after an attempt has ended and, if so, deducts the cost from the budget. */
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
                && (outcome != AttemptOutcome.CANCELLED || attempt.isAbandoned())
                && request.attemptCount()
                        < Math.min(
                                MAX_ATTEMPTS, request.maxAttempts(settings.get().limits()));
    }

    private boolean isWorthwhile(RequestInFlight request, AttemptOutcome outcome, long now) {
        if (request.request().deadline() - now < MIN_TIME_LEFT_MICROS) {
            return false;
        }
        RequestClass requestClass = classOf(request);
        double objective = requestClass.firstTokenObjective(request.request().promptTokens());
        if (now - request.arrivedAt() > objective && requestClass.lateAnswerValue() <= 0) {
            return false;
        }
        // While the fleet is overloaded, a request that a full replica rejected is left for its client to retry: its
        // tokens are cached there, and another replica would have to recompute them and become overloaded in turn.
        return outcome != AttemptOutcome.FULL || !overload.isOverloaded();
    }

    private static double cost(Attempt attempt, AttemptOutcome outcome, long took) {
        // Nothing is executed at a lost zone, so an attempt that was abandoned there did not use any capacity.
        if (outcome == AttemptOutcome.CONNECT_FAILED || attempt.isAbandoned()) {
            return 0;
        }
        return outcome != AttemptOutcome.FULL && took < QUICK_ERROR_MICROS ? QUICK_ERROR_COST : FULL_COST;
    }

    /** Returns whether an attempt may be sent to a replica, given what earlier attempts did or may still do. */
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
                && now < writeDeadline(request)
                && recognizesRepeat(
                        requestClass.deduplicationScope(),
                        replica.endpoint(),
                        earlier.replica().endpoint());
    }

    /**
     * Returns the time before which the next attempt must be written: the end of the deduplication window if an earlier
     * attempt may have been or may yet be executed. To be called before that attempt is added to the request.
     */
    long writeDeadline(RequestInFlight request) {
        RequestClass requestClass = classOf(request);
        Attempt earlier = request.earliestPossibleExecution();
        return earlier == null || requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? RoutingActions.NO_WRITE_DEADLINE
                : earlier.sentAt() + requestClass.deduplicationWindow();
    }

    /** Returns whether one replica recognizes the key of a request that the other may have executed. */
    private static boolean recognizesRepeat(DeduplicationScope scope, Endpoint one, Endpoint other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Returns whether a request may be rejected, which requires that a retry by its client is safe. */
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
