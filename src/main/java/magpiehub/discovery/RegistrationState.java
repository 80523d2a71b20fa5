package magpiehub.discovery;

/**
 * Whether this router's own entry stands in the registry, and what is to be done for it next. It is a plain
 * state machine: what calls came to goes in, the next step and its time come out. It owns the belief about
 * the entry's lease. It must never do I/O or read a clock; times are monotonic, in microseconds.
 */
public final class RegistrationState {
    /** What is to be done. */
    public enum Step {
        NONE,
        REGISTER,
        KEEP,
        DEREGISTER,
        DONE
    }

    private final long ttl;
    private boolean registered;
    /** A registration may have been made although its answer never came. */
    private boolean doubtful;

    private boolean stopping;
    private boolean done;
    private long at;
    private long keptAt;

    /** An entry that outlives its router by {@code ttl}; the first step is to register it. */
    public RegistrationState(long ttl, long now) {
        this.ttl = ttl;
        this.at = now;
    }

    /** What is due at a time. */
    public Step step(long now) {
        if (done) {
            return Step.DONE;
        }
        if (stopping) {
            return Step.DEREGISTER;
        }
        if (now < at) {
            return Step.NONE;
        }
        if (registered && now - keptAt >= ttl) {
            // Nobody has heard of this router for so long that the entry has gone.
            registered = false;
            doubtful = true;
        }
        return registered ? Step.KEEP : Step.REGISTER;
    }

    /** When {@link #step} is next of interest (us). */
    public long next() {
        return stopping ? Long.MIN_VALUE : at;
    }

    public boolean registered() {
        return registered;
    }

    /** The entry stands, for {@code granted} from when the call was sent, which may differ from what was
     *  asked for. */
    public void registered(long sentAt, long granted) {
        registered = true;
        doubtful = false;
        kept(sentAt, granted);
    }

    /** The entry's lease was renewed; three calls fit into what it was granted. */
    public void kept(long sentAt, long granted) {
        keptAt = sentAt;
        at = sentAt + Math.max(100_000, Math.min(ttl, granted) / 3);
    }

    /** The registry no longer knows the entry: it is made anew at once. */
    public void lost(long now) {
        registered = false;
        at = now;
    }

    /** A call failed; the next one is to wait this long. */
    public void failed(long now, long wait) {
        doubtful |= !registered;
        at = now + wait;
    }

    /** The router stops: the entry is to go, if it may stand. */
    public void stop() {
        stopping = true;
        done = !registered && !doubtful;
    }

    /** The entry is gone, or could not be removed in time: then its lease ends it. */
    public void deregistered() {
        registered = false;
        done = true;
    }
}
