package magpiehub.dispatch;

import magpiehub.routing.RoutingSettings;

/**
 * Keeps a watch of the endpoint list open at sites that push the list. At other sites the routing policy opens and
 * closes the watch itself, through {@link #open} and {@link #close}. Belongs to the dispatcher's thread.
 */
final class EndpointWatch {
    /**
     * How long after a failure the watch is opened again (us). What the discovery agent has learnt by then counts at
     * once, and the time that a site is given to stop sending to an upstream, 2 s on the platform, has to include this
     * wait and the answer.
     */
    private static final long RETRY_AFTER_MICROS = 250_000;

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

    /** Opens the watch if none is open and the routing policy opens none. */
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

    /** Takes note that discovery has failed, and has {@link #ensureOpen} called after a while. */
    void onFailure() {
        open = false;
        timers.schedule(clock.nowMicros() + RETRY_AFTER_MICROS, new TimerEvent.WatchRetryDue());
    }
}
