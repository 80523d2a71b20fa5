package magpiehub.discovery;

/**
 * Holds the current session and, until a newly configured registry has delivered its list, the previous one, whose
 * events still apply until then. Used by the actor's thread only.
 */
final class RegistrySessions {
    private RegistrySession current;
    /** The session of the previous registry, or null. */
    private RegistrySession former;

    RegistrySessions(RegistrySession first) {
        current = first;
    }

    RegistrySession current() {
        return current;
    }

    /** Returns the session of the previous registry, or null. */
    RegistrySession former() {
        return former;
    }

    /** Replaces the current session; the replaced one stays open if it is the only one that delivered a list. */
    void replace(RegistrySession by) {
        if (former == null && current.isListed()) {
            former = current;
        } else {
            current.close();
        }
        current = by;
    }

    /** Closes the previous session, after the current one has delivered its list. */
    void closeFormer() {
        if (former != null) {
            former.close();
            former = null;
        }
    }

    /** Closes all sessions. */
    void close() {
        current.close();
        if (former != null) {
            former.close();
        }
    }

    /** Returns when the next call of any session is due or the next timeout occurs. */
    long nextTimerMicros() {
        long next = current.nextTimerMicros();
        return former == null ? next : Math.min(next, former.nextTimerMicros());
    }
}
