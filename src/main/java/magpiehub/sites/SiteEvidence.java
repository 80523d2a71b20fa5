package magpiehub.sites;

import java.util.LinkedHashMap;
import java.util.Map;
import magpiehub.routing.ZoneEvidence;

/**
 * What one router has observed of one site: the failures since the last answer, the last answers, and the number of
 * listed replicas. Times are in microseconds of the router's clock; {@link #NEVER} stands for an event that has not
 * happened.
 */
final class SiteEvidence {
    /** Earlier than any time of the clock, yet not so small that differences overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** The replicas that failed since the last answer, by id, with the latest failure of each. */
    private final Map<String, ZoneEvidence> failures = new LinkedHashMap<>();
    /** When the first and the latest of these failures were observed. */
    private long firstFailureAt = NEVER;

    private long lastFailureAt = NEVER;
    /** When the attempt of the first failure was sent, and the latest time at which a failed attempt was sent. */
    private long firstFailureSentAt = NEVER;

    private long lastFailureSentAt = NEVER;

    /** When the last answer was received, and when its attempt was sent. */
    private long answeredAt = NEVER;

    private long answeredSentAt = NEVER;
    /** The same for the last answer that was not slow. */
    private long promptAnswerAt = NEVER;

    private long promptAnswerSentAt = NEVER;
    private int consecutiveSlowAnswers;

    /** The site's replicas in the endpoint list, -1 before the first list, and the time of that list. */
    private int listedReplicas = -1;

    private long listedAt = NEVER;

    // ---- Observations ---------------------------------------------------------------------------------

    /** Records an answer. Failures are kept until {@link #clearFailures}. */
    void onAnswer(long now, long sentAt, boolean isSlow) {
        answeredAt = now;
        answeredSentAt = sentAt;
        if (isSlow) {
            consecutiveSlowAnswers++;
        } else {
            promptAnswerAt = now;
            promptAnswerSentAt = sentAt;
            consecutiveSlowAnswers = 0;
        }
    }

    /** Records a failed attempt. */
    void onFailure(long now, long sentAt, String replica, ZoneEvidence failure) {
        if (firstFailureAt == NEVER) {
            firstFailureAt = now;
            firstFailureSentAt = sentAt;
            lastFailureSentAt = sentAt;
        }
        lastFailureAt = now;
        lastFailureSentAt = Math.max(lastFailureSentAt, sentAt);
        failures.put(replica, failure);
    }

    /** Records the number of listed replicas that take requests. Returns whether there are some again after none. */
    boolean onEndpointList(int replicas, long atMicros) {
        boolean returned = listedReplicas == 0 && replicas > 0;
        listedReplicas = replicas;
        listedAt = atMicros;
        return returned;
    }

    void clearFailures() {
        failures.clear();
        firstFailureAt = NEVER;
    }

    // ---- Queries --------------------------------------------------------------------------------------

    boolean hasFailures() {
        return !failures.isEmpty();
    }

    int failedReplicas() {
        return failures.size();
    }

    /**
     * Whether a failure is of another kind than the recorded ones. A replica that answers with an error is reachable,
     * so errors and other failures are not counted together.
     */
    boolean contradicts(ZoneEvidence failure) {
        boolean isError = failure == ZoneEvidence.ERROR;
        for (ZoneEvidence earlier : failures.values()) {
            if ((earlier == ZoneEvidence.ERROR) != isError) {
                return true;
            }
        }
        return false;
    }

    /** The most frequent kind of failure; {@link TransitionCause#NO_CONNECTION} if there are none. */
    TransitionCause dominantFailure() {
        int unreachable = 0;
        int silent = 0;
        int errors = 0;
        for (ZoneEvidence failure : failures.values()) {
            switch (failure) {
                case NO_CONNECTION -> unreachable++;
                case SILENCE -> silent++;
                case ERROR -> errors++;
                default -> {}
            }
        }
        if (unreachable >= silent && unreachable >= errors) {
            return TransitionCause.NO_CONNECTION;
        }
        return silent >= errors ? TransitionCause.SILENCE : TransitionCause.ERRORS;
    }

    /** How many replicas must have failed before the site may be lost; all of them if it has fewer than configured. */
    int failuresNeeded(SiteFailoverSettings settings) {
        int needed = settings.failedReplicasForLoss();
        return listedReplicas > 0 ? Math.min(needed, listedReplicas) : needed;
    }

    /** Whether the last failure is older than the evidence window. */
    boolean areFailuresExpired(long now, SiteFailoverSettings settings) {
        return firstFailureAt != NEVER && now - lastFailureAt > settings.evidenceWindowMicros();
    }

    /** Whether a recent endpoint list has no replica of the site. */
    boolean isUnlisted(long now, SiteFailoverSettings settings) {
        return listedReplicas == 0 && now - listedAt <= settings.maxListAgeMicros();
    }

    boolean hasAnsweredWithin(long now, long durationMicros) {
        return now - answeredAt <= durationMicros;
    }

    /** Whether the last answer was prompt and no older than this. */
    boolean isPrompt(long now, long maxAgeMicros) {
        return now - promptAnswerAt <= maxAgeMicros && consecutiveSlowAnswers == 0;
    }

    int consecutiveSlowAnswers() {
        return consecutiveSlowAnswers;
    }

    long firstFailureSentAt() {
        return firstFailureSentAt;
    }

    long lastFailureSentAt() {
        return lastFailureSentAt;
    }

    /** Whether this site has not answered since the other one began to fail. */
    boolean hasNotAnsweredSinceFailureOf(SiteEvidence other) {
        return answeredAt < other.firstFailureAt;
    }

    /** When the last answer, or the last prompt one, was received. */
    long answeredAt(boolean promptOnly) {
        return promptOnly ? promptAnswerAt : answeredAt;
    }

    /** When the attempt of the last answer, or of the last prompt one, was sent. */
    long answerSentAt(boolean promptOnly) {
        return promptOnly ? promptAnswerSentAt : answeredSentAt;
    }
}
