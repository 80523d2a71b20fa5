package magpiehub.discovery;

/**
 * The current session and, while a newly configured registry has not delivered its list, the one before it,
 * whose events still count until then. Belongs to the actor's thread.
 */
final class RegistrySessions {
    private RegistrySession current;
    /** Null for none. */
    private RegistrySession former;

    RegistrySessions(RegistrySession first) {
        current = first;
    }

    RegistrySession current() {
        return current;
    }

    /** The session of the registry before, or null. */
    RegistrySession former() {
        return former;
    }

    /** Makes a session the current one; the one before goes on if it is the only one with a list. */
    void replace(RegistrySession by) {
        if (former == null && current.isListed()) {
            former = current;
        } else {
            current.close();
        }
        current = by;
    }

    /** Closes the former session once the current one has delivered its list. */
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

    /** When any session's call is due or times out next. */
    long nextTimerMicros() {
        long next = current.nextTimerMicros();
        return former == null ? next : Math.min(next, former.nextTimerMicros());
    }
}
