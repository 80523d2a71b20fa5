package magpiehub.discovery;

/**
 * Holds the current session and, until a newly configured registry has delivered its list, the previous one, whose
 * events still apply until then. Used by the actor's thread only.
 */
final class RegistrySessions {
    private RegistrySession current;
    /** The session of the previous registry, or null. */
    private RegistrySession previous;

    RegistrySessions(RegistrySession first) {
        current = first;
    }

    RegistrySession current() {
        return current;
    }

    /** Returns the session of the previous registry, or null. */
    RegistrySession previous() {
        return previous;
    }

    /** Replaces the current session; the replaced one stays open if it is the only one that delivered a list. */
    void replace(RegistrySession replacement) {
        if (previous == null && current.hasReceivedList()) {
            previous = current;
        } else {
            current.close();
        }
        current = replacement;
    }

    /** Closes the previous session, after the current one has delivered its list. */
    void closePrevious() {
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** Closes all sessions. */
    void close() {
        current.close();
        if (previous != null) {
            previous.close();
        }
    }

    /** Returns when the next call of any session is due or the next timeout occurs. */
    long nextTimerMicros() {
        long next = current.nextTimerMicros();
        return previous == null ? next : Math.min(next, previous.nextTimerMicros());
    }
}
