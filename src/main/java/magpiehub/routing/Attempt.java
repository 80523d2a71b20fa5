package magpiehub.routing;

/** One attempt to serve a request at a replica, from sending it until its outcome is known. */
final class Attempt {
    private final Replica replica;
    private final long sentAt;
    private final int zone;
    private boolean started;
    private boolean ended;
    private boolean trial;
    private boolean silenceReported;
    private boolean abandoned;

    Attempt(Replica replica, long sentAt) {
        this.replica = replica;
        this.sentAt = sentAt;
        this.zone = replica.endpoint().zone();
    }

    Replica replica() {
        return replica;
    }

    long sentAt() {
        return sentAt;
    }

    /** Returns the zone that the replica belonged to when the attempt was sent. */
    int zone() {
        return zone;
    }

    /** Returns whether its first token has arrived. */
    boolean hasStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    boolean hasEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Returns whether it is open and its first token has not arrived. */
    boolean awaitsFirstToken() {
        return !ended && !started;
    }

    /** Returns whether it is the trial of an ejected replica. */
    boolean isTrial() {
        return trial;
    }

    void markTrial() {
        trial = true;
    }

    /** Returns whether the missing first token has been reported to the zone health. */
    boolean isSilenceReported() {
        return silenceReported;
    }

    void markSilenceReported() {
        silenceReported = true;
    }

    /**
     * Returns whether this router cancelled it because its zone is closed; its request may then be retried elsewhere.
     */
    boolean isAbandoned() {
        return abandoned;
    }

    void markAbandoned() {
        abandoned = true;
    }
}
