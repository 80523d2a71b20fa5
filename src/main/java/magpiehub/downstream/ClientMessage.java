package magpiehub.downstream;

import magpiehub.http.HttpHead;
import magpiehub.streaming.StreamOutcome;

/** A message in the mailbox of a {@link ClientConnection}; one record and one handler method for each kind. */
sealed interface ClientMessage {
    /** Calls the handler's method for this kind of message. */
    void deliverTo(Handler handler);

    /** Handles each kind of message. Called by the connection's actor. */
    interface Handler {
        void onRequestReceived(RequestReceived message);

        void onMalformedRequest(MalformedRequest message);

        void onDisconnected(Disconnected message);

        void onInputHalfClosed(InputHalfClosed message);

        void onTimerExpired(TimerExpired message);

        void onEvictIfIdle(EvictIfIdle message);

        void onCloseIfIdle(CloseIfIdle message);

        void onStreamEvent(StreamEvent message);

        void onStreamCompleted(StreamCompleted message);

        void onStreamFailed(StreamFailed message);

        void onRequestRejected(RequestRejected message);

        void onRequestFailed(RequestFailed message);
    }

    // ---- From the reader ------------------------------------------------------------------------------

    /**
     * A complete request was read.
     *
     * @param firstByteMicros when its first byte arrived
     * @param reservedBytes the bytes reserved for it in the {@link RequestBodyBudget}; whoever drops the message
     *     releases them
     */
    record RequestReceived(HttpHead head, byte[] body, long firstByteMicros, int reservedBytes)
            implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRequestReceived(this);
        }
    }

    /**
     * The client has sent something other than a request, or a request that can't be accepted; the response has {@code
     * status}.
     */
    record MalformedRequest(int status, String reason) implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onMalformedRequest(this);
        }
    }

    /** The client has disconnected or was disconnected; nothing more can be written to it. */
    record Disconnected() implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onDisconnected(this);
        }
    }

    /** The client has closed its sending side (half-close) and may still be reading. */
    record InputHalfClosed() implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onInputHalfClosed(this);
        }
    }

    // ---- From the listener ----------------------------------------------------------------------------

    /** The connection's timer has expired. */
    record TimerExpired() implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onTimerExpired(this);
        }
    }

    /** Capacity is needed for other clients: the connection is to be closed if it is idle. */
    record EvictIfIdle() implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onEvictIfIdle(this);
        }
    }

    /** The listener is draining: the connection is to be closed if it is idle. */
    record CloseIfIdle() implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onCloseIfIdle(this);
        }
    }

    // ---- From the dispatcher and the upstream side ----------------------------------------------------

    /** An event of the exchange's response stream. */
    record StreamEvent(ClientExchange exchange, byte[] bytes) implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamEvent(this);
        }
    }

    /** The exchange's response stream is complete. */
    record StreamCompleted(ClientExchange exchange) implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamCompleted(this);
        }
    }

    /** The exchange's response stream has failed; {@code errorEvent} is the upstream's error event, or null. */
    record StreamFailed(ClientExchange exchange, byte[] errorEvent, StreamOutcome outcome) implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamFailed(this);
        }
    }

    /** The exchange's request was rejected without effect; see {@link ClientExchange#reject}. */
    record RequestRejected(ClientExchange exchange, long retryAfterMicros) implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRequestRejected(this);
        }
    }

    /** The exchange's request has failed; see {@link ClientExchange#fail}. */
    record RequestFailed(ClientExchange exchange, String reason) implements ClientMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRequestFailed(this);
        }
    }
}
