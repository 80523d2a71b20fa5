package magpiehub.discovery.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;

/** What the end of a call to discovery shows of discovery. */
enum CallFailure {
    /** Nothing listens there: discovery is down. */
    REFUSED,
    /** No answer, or not the one that was asked for: discovery is down, or has too many callers, or the path is cut. */
    UNANSWERED,
    /** This machine could not make the call, which shows nothing of discovery. */
    LOCAL;

    private static final String REFUSED_MESSAGE = "Connection refused";

    /** The failure of a call whose connection could not be opened. */
    static CallFailure ofConnect(IOException failure) {
        if (failure instanceof ConnectException) {
            // The library has one type for refusals and for timeouts that the system reports.
            return String.valueOf(failure.getMessage()).startsWith(REFUSED_MESSAGE) ? REFUSED : UNANSWERED;
        }
        boolean unanswered = failure instanceof SocketTimeoutException || failure instanceof NoRouteToHostException;
        return unanswered ? UNANSWERED : LOCAL;
    }
}
