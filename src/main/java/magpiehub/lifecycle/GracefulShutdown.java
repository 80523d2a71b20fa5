package magpiehub.lifecycle;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import magpiehub.admin.AdminCommandHandler;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.telemetry.SyslogEventLog;

/**
 * Ends the process in the phases of {@link ShutdownPhases}: new connections are accepted for a moment, then only the
 * open ones are served, then only requests in flight, and before the process is killed each request gets its final
 * answer. Runs once, as the JVM's shutdown hook, and returns when no connection is open.
 */
final class GracefulShutdown implements Runnable {
    /** How often the phases are checked. */
    private static final long POLL_PERIOD_MS = 5;
    /** In the last phase, a client that has read nothing for so long is disconnected. */
    private static final long STUCK_CLIENT_MICROS = 1_000_000;

    private static final int MICROS_PER_MILLI = 1000;

    private final List<ClientListener> listeners;
    private final RequestDispatcher dispatcher;
    private final Supplier<SiteSettings> site;
    private final SyslogEventLog log;
    private final ServiceAnnouncement announcement;
    private final AdminCommandHandler admin;

    /**
     * A shutdown that has not begun.
     *
     * @param admin null if the router has no console
     */
    GracefulShutdown(
            List<ClientListener> listeners,
            RequestDispatcher dispatcher,
            Supplier<SiteSettings> site,
            SyslogEventLog log,
            ServiceAnnouncement announcement,
            AdminCommandHandler admin) {
        this.listeners = listeners;
        this.dispatcher = dispatcher;
        this.site = site;
        this.log = log;
        this.announcement = announcement;
        this.admin = admin;
    }

    @Override
    public void run() {
        try {
            boolean hasSuccessor = hasSuccessor();
            log.log(
                    "stopping",
                    "held",
                    Integer.toString(dispatcher.openRequests()),
                    "succeeded",
                    Boolean.toString(hasSuccessor));
            ShutdownPhases phases =
                    ShutdownPhases.forClasses(site.get().routing().classes());
            if (hasSuccessor) {
                handOver(phases);
            }
            // Before accepting ends: clients are to stop coming first.
            announcement.withdraw();
            finish(phases, hasSuccessor);
        } catch (IOException | InterruptedException e) {
            log.log("stop-failed", "error", e.toString());
        } finally {
            if (admin != null) {
                admin.onServiceEnded();
            }
            log.logCounters();
            log.log("stopped", "held", Integer.toString(dispatcher.openRequests()));
            log.flush();
        }
    }

    /** Whether a newer process of this router serves on the same listening socket. */
    private boolean hasSuccessor() {
        return admin != null && admin.hasSuccessor() && listeners.stream().anyMatch(ClientListener::hasSharedSocket);
    }

    /** Leaves new connections to the successor at once, and lets the open ones move to it little by little. */
    private void handOver(ShutdownPhases phases) throws IOException {
        for (ClientListener listener : listeners) {
            listener.stopAccepting();
            listener.drainIdleConnections(MonotonicClock.SYSTEM.micros() + phases.keepIdleMillis() * MICROS_PER_MILLI);
        }
    }

    private void finish(ShutdownPhases phases, boolean handedOver) throws IOException, InterruptedException {
        boolean accepting = true;
        boolean keepingIdle = !handedOver;
        boolean awaitingRequests = true;
        long startedAt = MonotonicClock.SYSTEM.micros();
        while (accepting || hasOpenConnections()) {
            Thread.sleep(POLL_PERIOD_MS);
            // By the clock: a process that is held to its share of a core sleeps longer than it asks for.
            long elapsedMillis = (MonotonicClock.SYSTEM.micros() - startedAt) / MICROS_PER_MILLI;
            if (accepting && elapsedMillis >= phases.acceptMillis()) {
                accepting = false;
                stopAccepting();
            }
            if (keepingIdle && elapsedMillis >= phases.keepIdleMillis()) {
                keepingIdle = false;
                listeners.forEach(ClientListener::closeIdleConnections);
            }
            if (awaitingRequests && elapsedMillis >= phases.finishMillis()) {
                awaitingRequests = false;
                dispatcher.shutDown(site.get().routing().resumesStreams());
            }
            if (!awaitingRequests) {
                listeners.forEach(listener -> listener.disconnectStalledClients(STUCK_CLIENT_MICROS));
            }
        }
    }

    private boolean hasOpenConnections() {
        return listeners.stream().anyMatch(listener -> listener.openConnections() > 0);
    }

    private void stopAccepting() throws IOException {
        for (ClientListener listener : listeners) {
            listener.stopAccepting();
        }
    }
}
