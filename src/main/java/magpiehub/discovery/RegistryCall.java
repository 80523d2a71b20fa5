package magpiehub.discovery;

/**
 * One call to a registry. The actor of {@link RegistryClient} creates it, and a {@link RegistryCallChannel} executes
 * it. Fields that are neither final nor volatile are used by the actor's thread only.
 */
final class RegistryCall {
    final RegistrySession session;
    final RegistryCallKind kind;
    /** The index of the endpoint in the registry's settings. */
    final int endpointIndex;
    /** The list's position when the call was created. */
    final ListPosition requestedPosition;

    final long startedAtMicros;
    /** Whether the call reads the list again to confirm a suspicious removal of endpoints. */
    final boolean confirmation;

    /** Set by the channel; null before it starts to connect. */
    private volatile RegistryConnection connection;

    private volatile boolean cancelled;
    /** Whether no event has been reported yet; written by the channel's thread. */
    private volatile boolean awaitsFirstEvent = true;
    /** Whether the connection was lost between two calls; written by the channel's thread. */
    private volatile boolean lostWhileIdle;

    /** When the call times out. */
    long deadlineMicros;

    long lastEventAtMicros;
    /** Whether the watch is open, so that its liveness is known only from events and position checks. */
    boolean watchOpen;
    /** Whether the call delivered a list older than the known one, so that the next query is due at once. */
    boolean deliveredLaggingList;

    RegistryCall(
            RegistrySession session,
            RegistryCallKind kind,
            int endpointIndex,
            ListPosition requestedPosition,
            long nowMicros,
            boolean confirmation) {
        this.session = session;
        this.kind = kind;
        this.endpointIndex = endpointIndex;
        this.requestedPosition = requestedPosition;
        this.startedAtMicros = nowMicros;
        this.lastEventAtMicros = nowMicros;
        this.confirmation = confirmation;
    }

    /** Returns the registry endpoint as {@code address:port}. */
    String endpointAddress() {
        return session.settings().endpoints().get(endpointIndex);
    }

    /** Cancels the call by closing its connection. May be called from any thread. */
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

    /** Sets the connection that {@link #cancel} closes. */
    void setConnection(RegistryConnection newConnection) {
        connection = newConnection;
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

    /** Returns when the registry last sent data for this call, or the call's start. May be called from any thread. */
    long lastReadMicros() {
        RegistryConnection open = connection;
        return open == null ? startedAtMicros : Math.max(startedAtMicros, open.lastReadMicros());
    }
}
