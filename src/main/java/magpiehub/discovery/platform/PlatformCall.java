package magpiehub.discovery.platform;

import java.net.Socket;
import magpiehub.http.Sockets;

/** One call to the platform's discovery: a watch, or a request for the list alone. */
final class PlatformCall extends WatchScheduler.Call {
    /** Whether the call watches the list; else it reads it once. */
    final boolean watch;
    /** Connected and read by the call's own thread; closed by any. */
    final Socket socket = new Socket();
    /** When the call was opened, on the monotonic clock. */
    final long openedAtMicros;
    /** Whether the call has delivered nothing yet. Used by the actor's thread alone. */
    boolean awaitsFirstData = true;
    /** What an end of the call now would show. Set by the call's own thread, read by any. */
    volatile CallFailure failure = CallFailure.LOCAL;

    PlatformCall(boolean watch, String address, long openedAtMicros) {
        super(address);
        this.watch = watch;
        this.openedAtMicros = openedAtMicros;
    }

    /** Ends the call. Any thread. */
    void close() {
        Sockets.closeQuietly(socket);
    }
}
