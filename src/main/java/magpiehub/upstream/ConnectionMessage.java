package magpiehub.upstream;

import java.net.Socket;
import magpiehub.streaming.StreamFlow;

/**
 * A message in the mailbox of an {@link UpstreamConnection}, with one record and one handler method for each type.
 * Messages that a {@link ResponseReader} posts name the socket that it reads from, so that those from a socket that the
 * connection has closed in the meantime can be recognized as stale.
 */
sealed interface ConnectionMessage {
    /** Calls the handler's method for this type of message. */
    void deliverTo(Handler handler);

    /** Handles each type of message, on the connection's actor. */
    interface Handler {
        void onAttemptStarted(AttemptStarted message);

        void onForwardingStarted(ForwardingStarted message);

        void onAttemptAborted(AttemptAborted message);

        void onRemovedFromPool(RemovedFromPool message);

        void onTimerDue(TimerDue message);

        void onConnected(Connected message);

        void onErrorResponse(ErrorResponse message);

        void onEventReceived(EventReceived message);

        void onStreamCompleted(StreamCompleted message);

        void onConnectionLost(ConnectionLost message);
    }

    /** The pool has assigned an attempt to the connection, which had none in progress. */
    record AttemptStarted(UpstreamAttempt attempt) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptStarted(this);
        }
    }

    /** The dispatcher has assigned the attempt's response stream to the client. */
    record ForwardingStarted(UpstreamAttempt attempt) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onForwardingStarted(this);
        }
    }

    /** The dispatcher has aborted the attempt and closed its socket. */
    record AttemptAborted(UpstreamAttempt attempt) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptAborted(this);
        }
    }

    /** The pool has removed the connection; no attempt follows. */
    record RemovedFromPool() implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRemovedFromPool(this);
        }
    }

    /** The connection's timer has expired. */
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
     * A complete response that is not a stream.
     *
     * @param rejected whether the upstream states that it has not executed the request
     * @param reusable whether the connection may be reused for another request
     * @param loadReport the text of the load report, or null
     */
    record ErrorResponse(Socket socket, int status, boolean rejected, boolean reusable, String loadReport)
            implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onErrorResponse(this);
        }
    }

    /** One event of a response stream. Its bytes count towards {@code flow} until they are discarded or forwarded. */
    record EventReceived(Socket socket, byte[] bytes, StreamFlow flow) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onEventReceived(this);
        }
    }

    /**
     * The end of a response stream that is complete according to its HTTP framing.
     *
     * @param reusable whether the connection may be reused for another request
     * @param bytesFollow whether more bytes have been received behind the response
     * @param loadReport the text of the load report, or null
     */
    record StreamCompleted(Socket socket, boolean reusable, boolean bytesFollow, String loadReport)
            implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamCompleted(this);
        }
    }

    /**
     * Nothing more is read from the socket: connecting failed, it was closed, or the response could not be parsed.
     *
     * @param malformed whether the response was malformed or its head timed out
     */
    record ConnectionLost(Socket socket, String reason, boolean malformed) implements ConnectionMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onConnectionLost(this);
        }
    }
}
