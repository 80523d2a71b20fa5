package magpiehub.discovery.platform;

import java.net.Socket;
import magpiehub.http.Sockets;

/** One call to the platform's discovery: a watch, or a single request for the list. */
final class PlatformCall extends WatchScheduler.Call {
    /** Whether the call watches the list; otherwise it reads the list once. */
    final boolean watch;
    /** Connected and read by the call's own thread; closed by any thread. */
    final Socket socket = new Socket();
    /** When the call was opened, on the monotonic clock. */
    final long openedAtMicros;
    /** Whether the call has not delivered any data yet. Used only by the actor's thread. */
    boolean awaitsFirstData = true;
    /** The failure to report if the call ends now. Set by the call's own thread, read by any thread. */
    volatile CallFailure failure = CallFailure.LOCAL;

    PlatformCall(boolean watch, String address, long openedAtMicros) {
        super(address);
        this.watch = watch;
        this.openedAtMicros = openedAtMicros;
    }

    /** Closes the connection, which ends the call. Any thread. */
    void close() {
        Sockets.closeQuietly(socket);
    }
}
