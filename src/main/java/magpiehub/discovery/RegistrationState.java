package magpiehub.discovery;

/**
 * Tracks whether this router's entry is in the registry and decides which call is due next. A state machine without I/O
 * and without a clock: the caller reports the results of calls and asks for the next step and its time. Times are
 * monotonic, in microseconds. Not thread-safe.
 */
public final class RegistrationState {
    /** The next step. Names of steps that are calls appear in the log. */
    public enum Step {
        /** Wait until {@link RegistrationState#nextStepAtMicros}. */
        NONE,
        /** Write the entry. */
        REGISTER,
        /** Renew the entry. */
        KEEP,
        /** Remove the entry because the router is stopping. */
        DEREGISTER,
        /** Nothing is left to do. */
        DONE
    }

    /** The number of renewals per TTL, so that one or two may fail before the entry expires. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Limits the rate of renewals if the registry grants a very short TTL (us). */
    private static final long MIN_RENEWAL_INTERVAL_MICROS = 100_000;

    private final long ttlMicros;
    private boolean registered;

    /** Whether the entry may exist although that is not confirmed, after a failed registration or failed renewals. */
    private boolean possiblyRegistered;

    private boolean stopping;
    private boolean done;
    private long nextStepAtMicros;
    private long renewedAtMicros;

    /**
     * Creates the state of an entry that is not registered yet; its registration is due at once.
     *
     * @param ttlMicros how long after its last renewal the entry expires
     */
    public RegistrationState(long ttlMicros, long nowMicros) {
        this.ttlMicros = ttlMicros;
        this.nextStepAtMicros = nowMicros;
    }

    /** Returns the step that is due now. */
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
            // No renewal has succeeded within the TTL, so the entry has expired.
            registered = false;
            possiblyRegistered = true;
        }
        return registered ? Step.KEEP : Step.REGISTER;
    }

    /** Returns when the next step is due (us). */
    public long nextStepAtMicros() {
        return stopping ? Long.MIN_VALUE : nextStepAtMicros;
    }

    /**
     * Records that the entry was written.
     *
     * @param sentAtMicros when the call was sent
     * @param grantedMicros the granted TTL, counted from then; may differ from the requested one
     */
    public void onRegistered(long sentAtMicros, long grantedMicros) {
        registered = true;
        possiblyRegistered = false;
        onRenewed(sentAtMicros, grantedMicros);
    }

    /** Records that a call sent at {@code sentAtMicros} renewed the entry for {@code grantedMicros} from then. */
    public void onRenewed(long sentAtMicros, long grantedMicros) {
        renewedAtMicros = sentAtMicros;
        long interval = Math.min(ttlMicros, grantedMicros) / RENEWALS_PER_TTL;
        nextStepAtMicros = sentAtMicros + Math.max(MIN_RENEWAL_INTERVAL_MICROS, interval);
    }

    /** Records that the registry has lost the entry: a new registration is due at once. */
    public void onLost(long nowMicros) {
        registered = false;
        nextStepAtMicros = nowMicros;
    }

    /** Records that a call failed: the next one is due after the backoff. */
    public void onFailed(long nowMicros, long backoffMicros) {
        possiblyRegistered |= !registered; // The registry may have processed the call although the response was lost.
        nextStepAtMicros = nowMicros + backoffMicros;
    }

    /** Records that the router is stopping: the entry is to be removed if it may exist. */
    public void onStop() {
        stopping = true;
        done = !registered && !possiblyRegistered;
    }

    /** Records that the entry was removed, or that removing it failed and it will expire. */
    public void onDeregistered() {
        registered = false;
        done = true;
    }
}
