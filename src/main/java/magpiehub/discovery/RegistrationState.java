package magpiehub.discovery;

/**
 * Whether this router's own entry stands in the registry, and what is to be done for it next: a state machine without
 * I/O or a clock. The results of calls go in, the next step and its time come out. Times are monotonic, in
 * microseconds. An instance belongs to one thread.
 */
public final class RegistrationState {
    /** What is to be done. The names of the calls among them appear in the log. */
    public enum Step {
        /** Nothing before {@link RegistrationState#nextStepAtMicros}. */
        NONE,
        /** Write the entry. */
        REGISTER,
        /** Renew the entry. */
        KEEP,
        /** Remove the entry, because the router stops. */
        DEREGISTER,
        /** Nothing any more. */
        DONE
    }

    /** Renewals that fit into the time for which an entry stands, so that one or two may fail. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Guards against a registry that grants next to no time (us). */
    private static final long MIN_RENEWAL_INTERVAL_MICROS = 100_000;

    private final long ttlMicros;
    private boolean registered;

    /** Whether the entry may stand although it is not known to: a registration failed, or renewals did. */
    private boolean possiblyRegistered;

    private boolean stopping;
    private boolean done;
    private long nextStepAtMicros;
    private long renewedAtMicros;

    /** An entry that expires {@code ttlMicros} after its last renewal; the first step is to register it. */
    public RegistrationState(long ttlMicros, long nowMicros) {
        this.ttlMicros = ttlMicros;
        this.nextStepAtMicros = nowMicros;
    }

    /** The step that is due now. */
    public Step nextStep(long nowMicros) {
        if (done) {
            return Step.DONE;
        }
        if (stopping) {
            return Step.DEREGISTER;
        }
        if (nowMicros < nextStepAtMicros) {
            return Step.NONE;
        }
        if (registered && nowMicros - renewedAtMicros >= ttlMicros) {
            // No renewal has succeeded for so long that the entry has expired.
            registered = false;
            possiblyRegistered = true;
        }
        return registered ? Step.KEEP : Step.REGISTER;
    }

    /** When {@link #nextStep} has something to do (us). */
    public long nextStepAtMicros() {
        return stopping ? Long.MIN_VALUE : nextStepAtMicros;
    }

    /**
     * The entry was written.
     *
     * @param sentAtMicros when the call was sent
     * @param grantedMicros how long the entry stands from then; may differ from what was asked for
     */
    public void onRegistered(long sentAtMicros, long grantedMicros) {
        registered = true;
        possiblyRegistered = false;
        onRenewed(sentAtMicros, grantedMicros);
    }

    /** The entry was renewed by a call that was sent at a time, and stands so long from then. */
    public void onRenewed(long sentAtMicros, long grantedMicros) {
        renewedAtMicros = sentAtMicros;
        long interval = Math.min(ttlMicros, grantedMicros) / RENEWALS_PER_TTL;
        nextStepAtMicros = sentAtMicros + Math.max(MIN_RENEWAL_INTERVAL_MICROS, interval);
    }

    /** The registry does not have the entry: it is to be written again at once. */
    public void onLost(long nowMicros) {
        registered = false;
        nextStepAtMicros = nowMicros;
    }

    /** A call failed; the next one is made after a backoff. */
    public void onFailed(long nowMicros, long backoffMicros) {
        possiblyRegistered |= !registered; // The call may have taken effect, and only its response been lost.
        nextStepAtMicros = nowMicros + backoffMicros;
    }

    /** The router stops: the entry is to be removed if it may stand. */
    public void onStop() {
        stopping = true;
        done = !registered && !possiblyRegistered;
    }

    /** The entry was removed, or could not be, and is left to expire. */
    public void onDeregistered() {
        registered = false;
        done = true;
    }
}
