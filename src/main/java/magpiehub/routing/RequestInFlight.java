package magpiehub.routing;

import java.util.ArrayList;
import java.util.List;

/** A request that is not over yet, or that is over and still has open attempts. */
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

    /** The limits in force when it came: a reload allows nothing more to a request in flight. */
    RoutingLimits limits() {
        return limits;
    }

    /** Attempts allowed: a reload may lower the number for a request in flight, but not raise it. */
    int maxAttempts(RoutingLimits inForce) {
        return Math.min(limits.maxAttempts(), inForce.maxAttempts());
    }

    // ---- Affinity ---------------------------------------------------------------------------------------
    /** The entry of its affinity key, null if it has no key. */
    AffinityEntry affinityEntry() {
        return affinityEntry;
    }

    void setAffinityEntry(AffinityEntry entry) {
        affinityEntry = entry;
    }

    /** Replicas that its key has now, at least one. */
    int affinityWidth() {
        return affinityEntry == null ? 1 : Math.max(1, affinityEntry.size());
    }

    boolean hasAffinityTo(Replica replica) {
        return affinityEntry != null && affinityEntry.contains(replica);
    }

    /** Whether its newest attempt went to a replica that its key's entry did not take in beforehand. */
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

    /** The attempt of a number from 0; null if there is none. */
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

    /** The earliest attempt that may have been executed or still may be; null if there is none. */
    Attempt earliestPossibleExecution() {
        Attempt earliest = firstPossiblyExecuted;
        for (Attempt attempt : attempts) {
            if (!attempt.hasEnded() && (earliest == null || attempt.sentAt() < earliest.sentAt())) {
                earliest = attempt;
            }
        }
        return earliest;
    }

    /** Whether it is certain that no attempt was executed or is open. */
    boolean wasNeverExecuted() {
        return openAttempts == 0 && firstPossiblyExecuted == null;
    }

    // ---- Progress ---------------------------------------------------------------------------------------
    /** Whether a stream is passed on to its client. */
    boolean isStreaming() {
        return streaming;
    }

    void markStreaming() {
        streaming = true;
    }

    /** Whether no answer is owed any more. */
    boolean isFinished() {
        return finished;
    }

    void markFinished() {
        finished = true;
    }
}
