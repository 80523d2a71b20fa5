package magpiehub.sites;

import java.util.LinkedHashMap;
import java.util.Map;
import magpiehub.routing.ZoneEvidence;

/**
 * What one router has observed of one site: the failures since its last answer, its last answers, and what the endpoint
 * list says. Times are those of the router's clock, in microseconds; {@link #NEVER} means not yet.
 */
final class SiteEvidence {
    /** Before any time of the clock, and far enough from the least value that differences don't overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Replicas that failed since the last answer, by id, each with how it failed last. */
    private final Map<String, ZoneEvidence> failures = new LinkedHashMap<>();
    /** When the first and the last of these failures were observed. */
    private long firstFailureAt = NEVER;

    private long lastFailureAt = NEVER;
    /** When the first of the failed attempts, and the latest of them, were sent. */
    private long firstFailureSentAt = NEVER;

    private long lastFailureSentAt = NEVER;

    /** The last answer: when it came, and when its attempt was sent. */
    private long answeredAt = NEVER;

    private long answeredSentAt = NEVER;
    /** The same of the last answer that was not slow. */
    private long promptAnswerAt = NEVER;

    private long promptAnswerSentAt = NEVER;
    private int consecutiveSlowAnswers;

    /** Replicas that the endpoint list names, -1 before the first list, and how old that list is. */
    private int listedReplicas = -1;

    private long listedAt = NEVER;

    // ---- Observations ---------------------------------------------------------------------------------

    /** A replica answered. The failures stand until {@link #clearFailures}. */
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

    /** An attempt failed. */
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

    /** The endpoint list names so many replicas that take work. Returns whether there were none before. */
    boolean onListed(int replicas, long atMicros) {
        boolean returned = listedReplicas == 0 && replicas > 0;
        listedReplicas = replicas;
        listedAt = atMicros;
        return returned;
    }

    void clearFailures() {
        failures.clear();
        firstFailureAt = NEVER;
    }

    // ---- Questions ------------------------------------------------------------------------------------

    boolean hasFailures() {
        return !failures.isEmpty();
    }

    int failedReplicas() {
        return failures.size();
    }

    /**
     * Whether a failure does not fit those so far: a replica that answers with an error can be reached, so errors and
     * other failures don't add up to one loss.
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

    /** How many replicas must have failed before the site may be lost: all of them where it has only a few. */
    int failuresNeeded(SiteFailoverSettings settings) {
        int needed = settings.failedReplicasForLoss();
        return listedReplicas > 0 ? Math.min(needed, listedReplicas) : needed;
    }

    /** Whether the last failure is longer ago than evidence counts. */
    boolean areFailuresExpired(long now, SiteFailoverSettings settings) {
        return firstFailureAt != NEVER && now - lastFailureAt > settings.evidenceWindowMicros();
    }

    /** Whether an endpoint list that is recent enough names no replica of the site. */
    boolean isUnlisted(long now, SiteFailoverSettings settings) {
        return listedReplicas == 0 && now - listedAt <= settings.maxListAgeMicros();
    }

    boolean hasAnsweredWithin(long now, long durationMicros) {
        return now - answeredAt <= durationMicros;
    }

    /** Whether the last answer was prompt and is at most so old. */
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

    /** Whether no answer has come since the site began to fail. */
    boolean hasNotAnsweredSinceFailureOf(SiteEvidence other) {
        return answeredAt < other.firstFailureAt;
    }

    /** When the last answer came, or the last prompt one. */
    long answeredAt(boolean promptOnly) {
        return promptOnly ? promptAnswerAt : answeredAt;
    }

    /** When the attempt of the last answer was sent, or that of the last prompt one. */
    long answerSentAt(boolean promptOnly) {
        return promptOnly ? promptAnswerSentAt : answeredSentAt;
    }
}
