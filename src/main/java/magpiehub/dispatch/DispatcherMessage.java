package magpiehub.dispatch;

import java.util.List;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;

/** A message in the mailbox of {@link RequestDispatcher}, with one record and one handler method for each kind. */
sealed interface DispatcherMessage {
    /** Calls the handler method for this kind of message. */
    void deliverTo(Handler handler);

    /** The handler methods, one for each kind of message. Called on the dispatcher's thread. */
    interface Handler {
        void onRequestSubmitted(RequestSubmitted message);

        void onClientDisconnected(ClientDisconnected message);

        void onStreamStarted(StreamStarted message);

        void onAttemptEnded(AttemptEnded message);

        void onHealthCheckEnded(HealthCheckEnded message);

        void onEndpointsUpdated(EndpointsUpdated message);

        void onEndpointListValidityChanged(EndpointListValidityChanged message);

        void onSettingsUpdated(SettingsUpdated message);

        void onShutdownAnnounced(ShutdownAnnounced message);

        void onShutdownRequested(ShutdownRequested message);

        void onTaskSubmitted(TaskSubmitted message);
    }

    /** A client's request has been read completely. {@code payload} is passed to the upstream side unchanged. */
    record RequestSubmitted(RoutingRequest request, ClientCallback client, Object payload)
            implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRequestSubmitted(this);
        }
    }

    /** A client has closed its connection while its request was in progress there; the request may not be open. */
    record ClientDisconnected(String requestId, ClientCallback client) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onClientDisconnected(this);
        }
    }

    /** The first event of an attempt's response stream has arrived. */
    record StreamStarted(Attempt attempt) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onStreamStarted(this);
        }
    }

    /** An attempt is over. {@code cachedTokens} is -1 and {@code load} null if the upstream reported none. */
    record AttemptEnded(Attempt attempt, AttemptOutcome outcome, long cachedTokens, LoadReport load)
            implements DispatcherMessage {
        /** The end of an attempt that the dispatcher cancelled or could not start; the upstream reported nothing. */
        static AttemptEnded withoutReport(Attempt attempt, AttemptOutcome outcome) {
            return new AttemptEnded(attempt, outcome, RequestDispatcher.CACHED_TOKENS_UNKNOWN, null);
        }

        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptEnded(this);
        }
    }

    /** A health check has succeeded or failed. */
    record HealthCheckEnded(String endpointId, AttemptOutcome outcome, long sentAtMicros, LoadReport load)
            implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onHealthCheckEnded(this);
        }
    }

    /** Service discovery has reported endpoints or a failure. */
    record EndpointsUpdated(EndpointListKind kind, List<Endpoint> endpoints) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onEndpointsUpdated(this);
        }
    }

    /** The time until which the endpoint list may be used has changed. */
    record EndpointListValidityChanged(long validUntilMicros) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onEndpointListValidityChanged(this);
        }
    }

    /** The site's settings have been reloaded. */
    record SettingsUpdated(RoutingSettings settings) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onSettingsUpdated(this);
        }
    }

    /** The process will shut down before a stream that starts now can be expected to be complete. */
    record ShutdownAnnounced() implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onShutdownAnnounced(this);
        }
    }

    /** The process is shutting down. */
    record ShutdownRequested(boolean migrateStreams) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onShutdownRequested(this);
        }
    }

    /** A task to run on the dispatcher's thread. */
    record TaskSubmitted(Runnable task) implements DispatcherMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onTaskSubmitted(this);
        }
    }
}
