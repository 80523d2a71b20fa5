package magpiehub.lifecycle;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import magpiehub.admin.AdminCommandHandler;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.telemetry.SyslogEventLog;

/**
 * Shuts the router down in the phases of {@link ShutdownPhases}: at first new connections are still accepted, then only
 * open connections are served, then only requests in flight; the remaining requests get a final answer before the
 * process is killed. Runs once, as a JVM shutdown hook, and returns when no connection is open.
 */
final class GracefulShutdown implements Runnable {
    /** Interval between two checks of the phases. */
    private static final long POLL_PERIOD_MS = 5;
    /** In the last phase, a client that has read nothing for this long is disconnected. */
    private static final long STALLED_CLIENT_TIMEOUT_MICROS = 1_000_000;

    private static final int MICROS_PER_MILLI = 1000;

    /** A step that may fail. */
    private interface Step {
        void run() throws IOException;
    }

    /** The step at the end of a phase, and when that is. */
    private record PhaseEnd(ToLongFunction<ShutdownPhases> dueMillis, Step step) {}

    private final List<ClientListener> listeners;
    private final RequestDispatcher dispatcher;
    private final Supplier<SiteSettings> site;
    private final SyslogEventLog log;
    private final ServiceAnnouncement announcement;
    private final AdminCommandHandler admin;
    /** The phases so far; null before the shutdown has begun. */
    private ShutdownPhases phases;

    /**
     * Creates a shutdown hook; nothing happens before it runs.
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
        long startedAtMicros = MonotonicClock.SYSTEM.micros();
        try {
            boolean hasSuccessor = hasSuccessor();
            log.log(
                    "stopping",
                    "held",
                    Integer.toString(dispatcher.openRequests()),
                    "succeeded",
                    Boolean.toString(hasSuccessor),
                    "finish_ms",
                    Long.toString(currentPhases().finishMillis()));
            if (hasSuccessor) {
                drainToSuccessor(startedAtMicros);
            }
            // Begins before accepting ends, so that clients stop connecting first.
            announcement.withdraw();
            finish(hasSuccessor, startedAtMicros);
            announcement.awaitWithdrawn();
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

    /**
     * The phases for the classes of the latest settings. A reload that is completed during the shutdown can only bring
     * them forward: the time of the kill may follow from the new deadlines or from the earlier ones.
     */
    private ShutdownPhases currentPhases() {
        ShutdownPhases latest = ShutdownPhases.forClasses(site.get().currentClasses());
        if (phases == null || latest.finishMillis() < phases.finishMillis()) {
            phases = latest;
        }
        return phases;
    }

    /** Whether a newer process of this router accepts connections on the same listening socket. */
    private boolean hasSuccessor() {
        return admin != null && admin.hasSuccessor() && listeners.stream().anyMatch(ClientListener::hasSharedSocket);
    }

    /** Leaves new connections to the successor immediately, and drains the open ones to it gradually. */
    private void drainToSuccessor(long startedAtMicros) throws IOException {
        ShutdownPhases current = currentPhases();
        for (ClientListener listener : listeners) {
            long keepIdleMillis =
                    listener.resumesStreams() ? current.keepIdleMillis() : current.admitUnresumableMillis();
            listener.stopAccepting();
            listener.drainIdleConnections(startedAtMicros + keepIdleMillis * MICROS_PER_MILLI);
        }
    }

    /** Carries out the steps at the ends of the phases until no connection is open. */
    private void finish(boolean hasSuccessor, long startedAtMicros) throws IOException, InterruptedException {
        List<PhaseEnd> pending = phaseEnds(hasSuccessor);
        boolean accepting = true;
        while (accepting || hasOpenConnections()) {
            Thread.sleep(POLL_PERIOD_MS);
            // Measured by the clock, since a process whose CPU quota is exhausted sleeps longer than requested.
            long elapsedMillis = (MonotonicClock.SYSTEM.micros() - startedAtMicros) / MICROS_PER_MILLI;
            ShutdownPhases current = currentPhases();
            runDue(pending, current, elapsedMillis);
            accepting = elapsedMillis < current.acceptMillis();
            if (elapsedMillis >= current.finishMillis()) {
                listeners.forEach(listener -> listener.disconnectStalledClients(STALLED_CLIENT_TIMEOUT_MICROS));
            }
        }
    }

    private List<PhaseEnd> phaseEnds(boolean hasSuccessor) {
        List<PhaseEnd> ends = new ArrayList<>();
        ends.add(new PhaseEnd(ShutdownPhases::acceptMillis, this::stopAccepting));
        ends.add(new PhaseEnd(ShutdownPhases::admitUnresumableMillis, this::rejectUnresumableRequests));
        if (!hasSuccessor) {
            ends.add(new PhaseEnd(
                    ShutdownPhases::keepIdleMillis, () -> listeners.forEach(ClientListener::closeIdleConnections)));
        }
        ends.add(new PhaseEnd(
                ShutdownPhases::finishMillis,
                () -> dispatcher.shutDown(site.get().routing().resumesStreams())));
        return ends;
    }

    /** Runs the steps that are due, each once. */
    private static void runDue(List<PhaseEnd> pending, ShutdownPhases phases, long elapsedMillis) throws IOException {
        for (PhaseEnd end : List.copyOf(pending)) {
            if (elapsedMillis >= end.dueMillis().applyAsLong(phases)) {
                pending.remove(end);
                end.step().run();
            }
        }
    }

    /** Rejects requests whose streams can't be resumed, and closes the idle connections on which they would come. */
    private void rejectUnresumableRequests() {
        dispatcher.announceShutdown();
        listeners.stream().filter(listener -> !listener.resumesStreams()).forEach(ClientListener::closeIdleConnections);
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
