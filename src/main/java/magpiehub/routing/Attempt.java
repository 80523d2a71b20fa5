package magpiehub.routing;

/** One sending of a request to a replica, from the moment it is sent until its outcome is known. */
final class Attempt {
    private final Replica replica;
    private final long sentAt;
    private final int zone;
    private boolean started;
    private boolean ended;
    private boolean trial;
    private boolean silenceReported;
    private boolean givenUp;

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

    /** The zone that the replica was in when it was sent. */
    int zone() {
        return zone;
    }

    /** Whether its first token has come. */
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

    /** Whether it is open and its first token has not come. */
    boolean awaitsFirstToken() {
        return !ended && !started;
    }

    /** Whether it is the trial of an ejected replica. */
    boolean isTrial() {
        return trial;
    }

    void markTrial() {
        trial = true;
    }

    /** Whether its zone health has been told that no first token comes. */
    boolean isSilenceReported() {
        return silenceReported;
    }

    void markSilenceReported() {
        silenceReported = true;
    }

    /** Whether this router cancelled it because its zone is closed; its request may then go elsewhere. */
    boolean isGivenUp() {
        return givenUp;
    }

    void markGivenUp() {
        givenUp = true;
    }
}
