package magpiehub.downstream;

/** A connection as {@link IdleEviction} sees it. All methods may be called from any thread. */
interface EvictionCandidate {
    /** The value of {@link #idleSinceMicros} while a request is in progress. */
    long BUSY = Long.MAX_VALUE;

    /** Since when no request has been in progress, or {@link #BUSY}. */
    long idleSinceMicros();

    /** Whether a complete request has ever arrived. */
    boolean hasReceivedRequest();

    /** Whether a request is being received. */
    boolean isReceiving();

    /** Whether the connection was asked to close and has not decided yet. */
    boolean isCloseRequested();

    /** Asks the connection to close if it is idle, because capacity is needed. */
    void evictIfIdle();

    /** Asks the connection to close if it is idle, because the listener is draining. */
    void closeIfIdle();
}
