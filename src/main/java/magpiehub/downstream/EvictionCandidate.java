package magpiehub.downstream;

/** A connection as {@link IdleEviction} sees it. All methods may be called from any thread. */
interface EvictionCandidate {
    /** What {@link #idleSinceMicros} is while a request is in progress. */
    long BUSY = Long.MAX_VALUE;

    /** Since when no request is in progress, or {@link #BUSY}. */
    long idleSinceMicros();

    /** Whether a complete request has ever arrived. */
    boolean hasReceivedRequest();

    /** Whether a request is arriving. */
    boolean isReceiving();

    /** Whether the connection was told to close, and has not decided yet. */
    boolean isToldToClose();

    /** Tells the connection to close if it is idle, since capacity is needed. */
    void evictIfIdle();

    /** Tells the connection to close if it is idle, since clients are sent away. */
    void closeIfIdle();
}
