package magpiehub.routing;

import java.util.ArrayList;
import java.util.List;

/** A request that is not finished, or that is finished and still has open attempts. */
final class RequestInFlight {
    private final RoutingRequest request;
    private final long arrivedAt;
    private final RoutingLimits limits;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private AffinityEntry affinityEntry;
    private boolean servedOutsideAffinity;
    private boolean streaming;
    private boolean finished;
    private int openAttempts;
    private Attempt firstPossiblyExecuted;

    RequestInFlight(RoutingRequest request, RoutingLimits limits, long arrivedAt) {
        this.request = request;
        this.limits = limits;
        this.arrivedAt = arrivedAt;
    }

    RoutingRequest request() {
        return request;
    }

    String id() {
        return request.id();
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the limits at its arrival: a reload does not extend the limits of a request in flight. */
    RoutingLimits limits() {
        return limits;
    }

    /** Returns the maximum number of attempts. A reload can lower it for a request in flight, but not raise it. */
    int maxAttempts(RoutingLimits inForce) {
        return Math.min(limits.maxAttempts(), inForce.maxAttempts());
    }

    // ---- Affinity ---------------------------------------------------------------------------------------
    /** Returns the entry of its affinity key, null if it has no key. */
    AffinityEntry affinityEntry() {
        return affinityEntry;
    }

    void setAffinityEntry(AffinityEntry entry) {
        affinityEntry = entry;
    }

    /** Returns the current number of replicas of its affinity key, at least 1. */
    int affinityReplicaCount() {
        return affinityEntry == null ? 1 : Math.max(1, affinityEntry.size());
    }

    boolean hasAffinityTo(Replica replica) {
        return affinityEntry != null && affinityEntry.contains(replica);
    }

    /** Returns whether its latest attempt was sent to a replica that was not in its affinity entry or added to it. */
    boolean isServedOutsideAffinity() {
        return servedOutsideAffinity;
    }

    void setServedOutsideAffinity(boolean isOutside) {
        servedOutsideAffinity = isOutside;
    }

    // ---- Attempts ---------------------------------------------------------------------------------------
    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        openAttempts++;
    }

    /** Returns the attempt with the number, counted from 0; null if there is none. */
    Attempt findAttempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    int attemptCount() {
        return attempts.size();
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    boolean hasOpenAttempts() {
        return openAttempts > 0;
    }

    boolean wasSentTo(Replica replica) {
        for (Attempt attempt : attempts) {
            if (attempt.replica() == replica) {
                return true;
            }
        }
        return false;
    }

    /** Records the end of an attempt. */
    void endAttempt(Attempt attempt) {
        attempt.markEnded();
        openAttempts--;
    }

    /** Records that an ended attempt may have been executed. */
    void markPossiblyExecuted(Attempt attempt) {
        if (firstPossiblyExecuted == null) {
            firstPossiblyExecuted = attempt;
        }
    }

    /** Returns the earliest attempt that may have been or may yet be executed; null if there is none. */
    Attempt earliestPossibleExecution() {
        Attempt earliest = firstPossiblyExecuted;
        for (Attempt attempt : attempts) {
            if (!attempt.hasEnded() && (earliest == null || attempt.sentAt() < earliest.sentAt())) {
                earliest = attempt;
            }
        }
        return earliest;
    }

    /** Returns whether it is certain that no attempt was executed or is open. */
    boolean wasNeverExecuted() {
        return openAttempts == 0 && firstPossiblyExecuted == null;
    }

    // ---- Progress ---------------------------------------------------------------------------------------
    /** Returns whether a stream is being forwarded to its client. */
    boolean isStreaming() {
        return streaming;
    }

    void markStreaming() {
        streaming = true;
    }

    /** Returns whether no answer is due any more. */
    boolean isFinished() {
        return finished;
    }

    void markFinished() {
        finished = true;
    }
}
