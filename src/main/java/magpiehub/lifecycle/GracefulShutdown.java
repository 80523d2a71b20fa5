package magpiehub.lifecycle;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import magpiehub.admin.AdminCommandHandler;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.SiteSettings;
import magpiehub.discovery.RouterRegistration;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.routing.RequestClass;
import magpiehub.store.KeyValueStore;
import magpiehub.telemetry.SyslogEventLog;

/**
 * Ends the process in order once it is told to: new connections are accepted for a moment, then the ones that
 * clients have are served on, then only what is held, and before the process is killed each request gets its
 * final answer. Runs as the JVM's shutdown hook, on the thread that the JVM gives it, and returns once no
 * connection is open.
 */
public final class GracefulShutdown implements Runnable {
    /** How long the registry may take to forget this router (ms). */
    private static final long DEREGISTER_MS = 400;
    /** How often the phases are looked at (ms). */
    private static final long TICK_MS = 5;
    /** In the last phase, clients that have taken nothing for so long are let go of (us). */
    private static final long STUCK = 1_000_000;

    /**
     * When each phase ends, counted from the signal (ms).
     *
     * @param accept new connections are accepted until then
     * @param keep idle connections are kept until then; later each answer is its connection's last
     * @param finish requests are waited for until then; what is still held is answered or moved at once
     */
    public record Phases(long accept, long keep, long finish) {
        /** New connections come for 0.4 s, and a router held to its share of a core sees them later. */
        private static final long ACCEPT_MS = 600;
        /** The process is killed no sooner than after the longest deadline, taken as so long where it is
         *  longer, and so much more. */
        private static final long LONGEST_DEADLINE_MS = 3_000;

        private static final long KILLED_AFTER_MS = 700;
        /** What the last answers may take. A stream that its client asks for again is read anew by an engine,
         *  so none is ended earlier than it must. */
        private static final long LAST_ANSWERS_MS = 300;

        /** The phases for the deadlines (us) of these classes. Idle connections are kept for half of the
         *  time: another router may be down as well, and what comes on them last has the other half. */
        public static Phases of(List<RequestClass> classes) {
            long longest =
                    classes.stream().mapToLong(c -> c.deadline() / 1000).max().orElse(LONGEST_DEADLINE_MS);
            long finish = Math.min(LONGEST_DEADLINE_MS, longest) + KILLED_AFTER_MS - LAST_ANSWERS_MS;
            return new Phases(ACCEPT_MS, Math.max(ACCEPT_MS, finish / 2), finish);
        }
    }

    private final List<ClientListener> fronts;
    private final RequestDispatcher module;
    private final Supplier<SiteSettings> site;
    private final SyslogEventLog log;
    private final KeyValueStore store;
    private final String name;
    private final Supplier<RouterRegistration> announcer;
    private final AdminCommandHandler operators;

    /** A shutdown that has not begun; {@code store}, what {@code announcer} gives, and {@code operators} may
     *  be null where an installation has none. */
    public GracefulShutdown(
            List<ClientListener> fronts,
            RequestDispatcher module,
            Supplier<SiteSettings> site,
            SyslogEventLog log,
            KeyValueStore store,
            String name,
            Supplier<RouterRegistration> announcer,
            AdminCommandHandler operators) {
        this.fronts = fronts;
        this.module = module;
        this.site = site;
        this.log = log;
        this.store = store;
        this.name = name;
        this.announcer = announcer;
        this.operators = operators;
    }

    @Override
    public void run() {
        try {
            boolean succeeded = operators != null
                    && operators.succeeded()
                    && fronts.stream().anyMatch(ClientListener::shared);
            log.log("stopping", "held", Integer.toString(module.held()), "succeeded", Boolean.toString(succeeded));
            Phases phases = Phases.of(site.get().settings().classes());
            if (succeeded) {
                handOver(phases);
            }
            leaveRegistry();
            finish(phases, succeeded);
        } catch (IOException | InterruptedException e) {
            log.log("stop-failed", "error", e.toString());
        } finally {
            if (operators != null) {
                operators.ended();
            }
            log.logCounters();
            log.log("stopped", "held", Integer.toString(module.held()));
            log.flush();
        }
    }

    /** A successor process takes what comes from now on; clients here move over little by little. */
    private void handOver(Phases phases) throws IOException {
        for (ClientListener c : fronts) {
            c.stopAccepting();
            c.empty(MonotonicClock.SYSTEM.micros() + phases.keep * 1000);
        }
    }

    /** Before accepting ends: clients are to stop coming first. */
    private void leaveRegistry() throws InterruptedException {
        if (store != null) {
            store.put("router/" + name, "stopping");
        }
        RouterRegistration announced = announcer.get();
        if (announced != null) {
            announced.stop(DEREGISTER_MS);
        }
    }

    private void finish(Phases phases, boolean handedOver) throws IOException, InterruptedException {
        boolean accepting = true;
        boolean keeping = !handedOver;
        boolean waiting = true;
        long begun = MonotonicClock.SYSTEM.micros();
        while (accepting || fronts.stream().anyMatch(c -> c.open() > 0)) {
            Thread.sleep(TICK_MS);
            // By the clock: a process that is held to its share sleeps longer than it says.
            long ms = (MonotonicClock.SYSTEM.micros() - begun) / 1000;
            if (accepting && ms >= phases.accept) {
                accepting = false;
                for (ClientListener c : fronts) {
                    c.stopAccepting();
                }
            }
            if (keeping && ms >= phases.keep) {
                keeping = false;
                fronts.forEach(ClientListener::closeIdle);
            }
            if (waiting && ms >= phases.finish) {
                waiting = false;
                module.shutDown(site.get().settings().resume());
            }
            if (!waiting) {
                fronts.forEach(c -> c.letGoStuck(STUCK));
            }
        }
    }
}
