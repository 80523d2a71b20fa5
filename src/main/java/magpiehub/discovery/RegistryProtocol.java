package magpiehub.discovery;

import java.io.IOException;

/**
 * The client side of a registry's protocol: sends the requests that read or watch the endpoint list, and interprets
 * their responses.
 *
 * <p>Each method executes one call on the given connection, blocks the calling thread until the call has ended, and
 * reports to the listener. The caller decides when to call, which endpoint to call, and whether the result is current.
 * Any exception ends the call; a {@link RegistryErrorException} means that the connection itself is healthy. Closing
 * the connection from another thread ends a call in progress.
 */
interface RegistryProtocol {
    /** Reads the complete list and reports it with one {@link RegistryEventListener#onCompleteList}. */
    void readList(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException;

    /** Waits for changes after a position and reports them as they arrive. */
    void watch(RegistryConnection connection, ListPosition after, RegistryEventListener listener)
            throws IOException, InterruptedException;

    /**
     * Reads the registry's position with an inexpensive request and reports it with one
     * {@link RegistryEventListener#onPositionChecked}.
     */
    void checkPosition(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException;

    /** Returns whether the response to a watch is one complete list, which ends the call. */
    boolean watchReturnsCompleteList();

    /**
     * Returns how long a working watch may be silent (us); {@link Long#MAX_VALUE} if only position checks can tell
     * whether it works.
     */
    long maxWatchSilenceMicros();
}
