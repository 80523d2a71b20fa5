package magpiehub.dispatch;

import java.util.Locale;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.RoutingPolicy;
import magpiehub.telemetry.EventLog;

/**
 * Routes each kind of message and timer event to the component that handles it. Confined to the dispatcher's thread.
 */
final class DispatcherEventHandler implements DispatcherMessage.Handler, TimerEvent.Handler {
    private final RequestLifecycle lifecycle;
    private final DispatcherShutdown shutdown;
    private final RequestTable requests;
    private final EndpointWatch watch;
    private final TurnClock clock;
    private final RoutingPolicy policy;
    private final UpstreamFleet fleet;
    private final EventLog eventLog;

    DispatcherEventHandler(
            RequestLifecycle lifecycle,
            DispatcherShutdown shutdown,
            RequestTable requests,
            EndpointWatch watch,
            TurnClock clock,
            RoutingPolicy policy,
            UpstreamFleet fleet,
            EventLog eventLog) {
        this.lifecycle = lifecycle;
        this.shutdown = shutdown;
        this.requests = requests;
        this.watch = watch;
        this.clock = clock;
        this.policy = policy;
        this.fleet = fleet;
        this.eventLog = eventLog;
    }

    @Override
    public void onRequestSubmitted(DispatcherMessage.RequestSubmitted message) {
        lifecycle.submit(message.request(), message.client(), message.payload());
    }

    @Override
    public void onClientDisconnected(DispatcherMessage.ClientDisconnected message) {
        lifecycle.clientDisconnected(message.requestId(), message.client());
    }

    @Override
    public void onStreamStarted(DispatcherMessage.StreamStarted message) {
        lifecycle.streamStarted(message.attempt());
    }

    @Override
    public void onAttemptEnded(DispatcherMessage.AttemptEnded message) {
        lifecycle.attemptEnded(message.attempt(), message.outcome(), message.cachedTokens(), message.load());
    }

    @Override
    public void onHealthCheckEnded(DispatcherMessage.HealthCheckEnded message) {
        long nowMicros = clock.nowMicros();
        long roundTripMicros = nowMicros - message.sentAtMicros();
        policy.onHealthCheckEnded(nowMicros, message.endpointId(), message.outcome(), roundTripMicros, message.load());
    }

    @Override
    public void onEndpointsUpdated(DispatcherMessage.EndpointsUpdated message) {
        EndpointListKind kind = message.kind();
        fleet.updateEndpoints(kind, message.endpoints());
        policy.onEndpoints(clock.nowMicros(), kind, message.endpoints());
        if (kind == EndpointListKind.ERROR) {
            watch.onFailure();
        }
        eventLog.count("lists_" + kind.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void onEndpointListValidityChanged(DispatcherMessage.EndpointListValidityChanged message) {
        policy.onEndpointListValidity(clock.nowMicros(), message.validUntilMicros());
    }

    @Override
    public void onSettingsUpdated(DispatcherMessage.SettingsUpdated message) {
        requests.updateSettings(message.settings());
        watch.updateSettings(message.settings());
        policy.onSettings(clock.nowMicros(), message.settings());
        watch.ensureOpen();
    }

    @Override
    public void onShutdownAnnounced(DispatcherMessage.ShutdownAnnounced message) {
        lifecycle.rejectUnresumableRequests();
    }

    @Override
    public void onShutdownRequested(DispatcherMessage.ShutdownRequested message) {
        shutdown.begin(message.migrateStreams());
    }

    @Override
    public void onTaskSubmitted(DispatcherMessage.TaskSubmitted message) {
        message.task().run();
    }

    @Override
    public void onRequestOverdue(TimerEvent.RequestOverdue event) {
        lifecycle.requestOverdue(event.request());
    }

    @Override
    public void onAttemptTimedOut(TimerEvent.AttemptTimedOut event) {
        lifecycle.attemptTimedOut(event.attempt());
    }

    @Override
    public void onWriteDeadlinePassed(TimerEvent.WriteDeadlinePassed event) {
        lifecycle.writeDeadlinePassed(event.attempt());
    }

    @Override
    public void onWatchRetryDue(TimerEvent.WatchRetryDue event) {
        watch.ensureOpen();
    }

    @Override
    public void onPolicyTimerDue(TimerEvent.PolicyTimerDue event) {
        policy.onTimer(clock.nowMicros(), event.token());
    }
}
