package magpiehub.discovery.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;

/** What a failed call indicates about the state of discovery. */
enum CallFailure {
    /** The connection was refused: discovery is down. */
    REFUSED,
    /** No response, or not the expected one: discovery is down or overloaded, or the network path is interrupted. */
    UNANSWERED,
    /** This machine could not make the call, which says nothing about discovery. */
    LOCAL;

    private static final String REFUSED_MESSAGE = "Connection refused";

    /** The failure of a call whose connection could not be opened. */
    static CallFailure ofConnect(IOException failure) {
        if (failure instanceof ConnectException) {
            // ConnectException stands both for refusals and for timeouts that the operating system reports.
            return String.valueOf(failure.getMessage()).startsWith(REFUSED_MESSAGE) ? REFUSED : UNANSWERED;
        }
        boolean unanswered = failure instanceof SocketTimeoutException || failure instanceof NoRouteToHostException;
        return unanswered ? UNANSWERED : LOCAL;
    }
}
