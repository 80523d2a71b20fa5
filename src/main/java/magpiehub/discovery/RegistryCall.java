package magpiehub.discovery;

/**
 * One call to a registry. The actor of {@link RegistryClient} creates it, a {@link RegistryCallChannel} makes
 * it. Fields that are neither final nor volatile belong to the actor's thread.
 */
final class RegistryCall {
    final RegistrySession session;
    final RegistryCallKind kind;
    /** The index of the registry's endpoint. */
    final int endpoint;
    /** The list's position when the call was created. */
    final ListPosition requestedAt;

    final long startedAtMicros;
    /** Whether the call is the second read of a list that was doubted. */
    final boolean confirmation;

    /** Set by the channel; null until it is connected or connecting. */
    private volatile RegistryConnection connection;

    private volatile boolean cancelled;
    /** Whether no event has come yet; the channel's thread writes it. */
    private volatile boolean awaitsFirstEvent = true;
    /** Whether the connection was lost between two calls; the channel's thread writes it. */
    private volatile boolean lostWhileIdle;

    /** When the call times out. */
    long deadlineMicros;

    long lastEventAtMicros;
    /** Whether the watch is open, so that only its events and checks tell whether it is alive. */
    boolean watchOpen;
    /** Whether it delivered a list that is older than what was known: the next one is requested at once. */
    boolean deliveredLaggingList;

    RegistryCall(
            RegistrySession session,
            RegistryCallKind kind,
            int endpoint,
            ListPosition requestedAt,
            long nowMicros,
            boolean confirmation) {
        this.session = session;
        this.kind = kind;
        this.endpoint = endpoint;
        this.requestedAt = requestedAt;
        this.startedAtMicros = nowMicros;
        this.lastEventAtMicros = nowMicros;
        this.confirmation = confirmation;
    }

    /** The registry endpoint as {@code address:port}. */
    String endpointAddress() {
        return session.settings().endpoints().get(endpoint);
    }

    /** Ends the call by closing its connection. Any thread. */
    void cancel() {
        cancelled = true;
        RegistryConnection open = connection;
        if (open != null) {
            open.close();
        }
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Names the connection that {@link #cancel} is to close. */
    void use(RegistryConnection by) {
        connection = by;
    }

    boolean awaitsFirstEvent() {
        return awaitsFirstEvent;
    }

    void markFirstEvent() {
        awaitsFirstEvent = false;
    }

    boolean wasLostWhileIdle() {
        return lostWhileIdle;
    }

    void markLostWhileIdle() {
        lostWhileIdle = true;
    }

    /** When the registry last sent anything for this call; its start if it has not. Any thread. */
    long lastReadMicros() {
        RegistryConnection open = connection;
        return open == null ? startedAtMicros : Math.max(startedAtMicros, open.lastReadMicros());
    }
}
