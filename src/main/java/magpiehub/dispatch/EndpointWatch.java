package magpiehub.dispatch;

import magpiehub.routing.RoutingSettings;

/**
 * Keeps a watch on the endpoint list open at sites that push the list. At other sites the routing policy opens and
 * closes the watch itself, through {@link #open} and {@link #close}. Confined to the dispatcher's thread.
 */
final class EndpointWatch {
    /**
     * The delay before a failed watch is reopened. Updates that the discovery agent has received by then take effect
     * immediately. This delay and the agent's response together have to stay within the time in which a site must stop
     * sending to a removed upstream, which is 2 s on the platform.
     */
    private static final long RETRY_DELAY_MICROS = 250_000;

    private final EndpointListSource source;
    private final TimerQueue<TimerEvent> timers;
    private final TurnClock clock;
    private boolean policySubscribes;
    private boolean open;

    EndpointWatch(RoutingSettings settings, EndpointListSource source, TimerQueue<TimerEvent> timers, TurnClock clock) {
        this.source = source;
        this.timers = timers;
        this.clock = clock;
        updateSettings(settings);
    }

    void updateSettings(RoutingSettings settings) {
        policySubscribes = settings.subscribesToEndpoints();
    }

    /** Opens the watch if it is not open and the routing policy does not control it. */
    void ensureOpen() {
        if (!open && !policySubscribes) {
            open();
        }
    }

    void open() {
        open = true;
        source.watch();
    }

    void close() {
        source.unwatch();
    }

    /** Records that discovery has failed and schedules {@link #ensureOpen} after {@link #RETRY_DELAY_MICROS}. */
    void onFailure() {
        open = false;
        timers.schedule(clock.nowMicros() + RETRY_DELAY_MICROS, new TimerEvent.WatchRetryDue());
    }
}
