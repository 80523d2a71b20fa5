package magpiehub.upstream;

import java.net.Socket;
import magpiehub.streaming.StreamFlow;

/**
 * A message in the mailbox of an {@link UpstreamConnection}; one record and one handler method for each kind. What a
 * {@link ResponseReader} posts names the socket that it reads from: a message from a socket that the connection has
 * closed meanwhile is stale.
 */
sealed interface ConnectionMessage {
    /** Calls the handler's method for this kind of message. */
    void deliverTo(Handler handler);

    /** Handles each kind of message, in the turns of the connection's actor. */
    interface Handler {
        void onAttemptStarted(AttemptStarted message);

        void onStreamGranted(StreamGranted message);

        void onAttemptAborted(AttemptAborted message);

        void onDischarged(Discharged message);

        void onTimerDue(TimerDue message);

        void onConnected(Connected message);

        void onErrorResponse(ErrorResponse message);

        void onEventReceived(EventReceived message);

        void onStreamCompleted(StreamCompleted message);

        void onConnectionLost(ConnectionLost message);
    }

    /** The pool has assigned an attempt to the connection, which has none. */
    record AttemptStarted(UpstreamAttempt attempt) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptStarted(this);
        }
    }

    /** The dispatcher has assigned the attempt's response stream to the client. */
    record StreamGranted(UpstreamAttempt attempt) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamGranted(this);
        }
    }

    /** The dispatcher has aborted the attempt; its socket is closed. */
    record AttemptAborted(UpstreamAttempt attempt) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptAborted(this);
        }
    }

    /** The pool has given the connection up; no attempt follows. */
    record Discharged() implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onDischarged(this);
        }
    }

    /** The time that the connection has asked to be woken at has come. */
    record TimerDue() implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onTimerDue(this);
        }
    }

    /** The socket is connected. */
    record Connected(Socket socket) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onConnected(this);
        }
    }

    /**
     * A complete response other than a stream.
     *
     * @param rejected whether the upstream says that it has not executed the request
     * @param reusable whether the connection may serve another request
     * @param loadReport the load report's text, or null
     */
    record ErrorResponse(Socket socket, int status, boolean rejected, boolean reusable, String loadReport)
            implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onErrorResponse(this);
        }
    }

    /** One event of a response stream. Its bytes are counted as {@code flow}'s until they are dropped or forwarded. */
    record EventReceived(Socket socket, byte[] bytes, StreamFlow flow) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onEventReceived(this);
        }
    }

    /**
     * The end of a response stream that is complete by its framing.
     *
     * @param reusable whether the connection may serve another request
     * @param loadReport the load report's text, or null
     */
    record StreamCompleted(Socket socket, boolean reusable, String loadReport) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamCompleted(this);
        }
    }

    /**
     * Nothing more is read from the socket: it could not be connected, was closed, or brought what can't be read.
     *
     * @param malformed whether the response was malformed or its head took too long
     */
    record ConnectionLost(Socket socket, String reason, boolean malformed) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onConnectionLost(this);
        }
    }
}
