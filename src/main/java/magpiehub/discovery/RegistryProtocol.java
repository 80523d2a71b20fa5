package magpiehub.discovery;

import java.io.IOException;

/**
 * The client side of one registry's protocol: which requests read or watch the endpoint list, and what their
 * responses mean.
 *
 * <p>Each method makes one call on the connection that it is given, blocks the calling thread until the call is
 * over, and reports to the listener. It decides neither what is current nor when to call or which endpoint: that is
 * for the caller. Any exception ends the call; a {@link RegistryErrorException} says that the connection itself is
 * healthy. Closing the connection from another thread ends a call that is in progress.
 */
interface RegistryProtocol {
    /** Reads the complete list and reports it by one {@link RegistryEventListener#onCompleteList}. */
    void readList(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException;

    /** Waits for changes after a position and reports them as they come. */
    void watch(RegistryConnection connection, ListPosition after, RegistryEventListener listener)
            throws IOException, InterruptedException;

    /** Asks by a cheap request where the registry stands: one {@link RegistryEventListener#onPositionChecked}. */
    void checkPosition(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException;

    /** Whether a watch is answered with one complete list, which ends that call. */
    boolean watchReturnsCompleteList();

    /** How long a watch may be silent (us); {@link Long#MAX_VALUE} where only position checks can tell. */
    long maxQuietMicros();
}
