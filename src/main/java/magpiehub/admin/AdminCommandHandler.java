package magpiehub.admin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.EventLog;

/**
 * Carries out what operators say: asks {@link MaintenanceState} what a call means, keeps that in the file that
 * both processes of an upgrade share, and hands it on. It owns the order: a call is granted only once it
 * is kept and nothing more can go against it in this process, and what another process was told is
 * followed within a tenth of a second. It must never decide where a request goes, or make the router wait.
 */
public final class AdminCommandHandler {
    /** What the router does at the operators' word. */
    public interface Hands {
        /** Whether this process can serve. */
        boolean ready();

        /** The engines that are out, and those called back, with when (Unix time, ms); {@code done} runs once
         *  no attempt can start any more that goes against it. */
        void engines(Set<String> banned, Map<String, Long> back, Runnable done);

        /** How each site stands, by name; empty where no loss of a site is planned for. */
        default Map<String, String> sites() {
            return Map.of();
        }

        /** Gives these sites up, and takes all others back. */
        default void sites(Set<String> out) {}

        /** Sends clients away, or takes them again. */
        void standby(boolean on);
    }

    /** How often the file is looked at (us): a call on the other process is to be followed within a second.
     */
    private static final long POLL = 100_000;
    /** How long a call waits for the module, and, during an upgrade, for the other process (ms). */
    private static final long PATIENCE_MS = 700;

    private static final long OTHER_MS = 2 * POLL / 1000;

    private final MaintenanceStateFile file;
    private final Hands hands;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final long self = ProcessHandle.current().pid();
    private final Set<String> listed = ConcurrentHashMap.newKeySet();
    private MaintenanceState.Held held = MaintenanceState.Held.NOTHING;
    private volatile boolean fresh;

    /** Nothing is read, written or carried out until {@link #start}. */
    public AdminCommandHandler(Path folder, String router, Hands hands, MonotonicClock clock, EventLog journal) {
        this.file = new MaintenanceStateFile(folder, router, journal);
        this.hands = hands;
        this.clock = clock;
        this.journal = journal;
    }

    /** Takes over what the file holds, then follows it. */
    public void start() {
        follow();
        Mailbox.thread("operators", this::run).start();
    }

    private void run() {
        Mailbox<Object> nothing = new Mailbox<>(clock, 0);
        try {
            while (true) {
                nothing.take(clock.micros() + POLL);
                follow();
                if (fresh) {
                    fresh = false;
                    keep(h -> h.listed(listed));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Engines that the list has named. Any thread. */
    public void listed(Collection<String> ids) {
        if (listed.addAll(ids)) {
            fresh = true;
        }
    }

    /** This process serves from now on; it is the newest. */
    public void serving() {
        keep(h -> h.serving(self, h.routers().stream().filter(p -> !alive(p)).toList()));
    }

    /** This process has ended its service. */
    public void ended() {
        keep(h -> h.without(self));
    }

    /** Whether another process has begun to serve after this one. */
    public boolean succeeded() {
        MaintenanceState.Held h = file.read();
        return h != null
                && !h.routers().isEmpty()
                && others(h)
                && h.routers().stream().reduce((a, b) -> b).orElse(self) != self;
    }

    private boolean others(MaintenanceState.Held h) {
        return h.routers().stream().anyMatch(p -> p != self && alive(p));
    }

    private static boolean alive(long pid) {
        return ProcessHandle.of(pid).isPresent();
    }

    private synchronized void keep(java.util.function.UnaryOperator<MaintenanceState.Held> how) {
        try {
            take(file.change(held, how), () -> {});
        } catch (IOException | RuntimeException e) {
            unsaved(e);
        }
    }

    private void unsaved(Exception e) {
        journal.count("operators_file_failures");
        journal.log("operators-file-failed", "error", e.toString());
    }

    private synchronized void follow() {
        MaintenanceState.Held h = file.read();
        if (h != null && h.version() > held.version()) {
            take(h, () -> {});
        }
    }

    /** Hands on what differs. */
    private void take(MaintenanceState.Held h, Runnable done) {
        MaintenanceState.Held old = held;
        held = h;
        if (old.standby() != h.standby()) {
            hands.standby(h.standby());
            journal.log(h.standby() ? "standby" : "active");
        }
        if (!old.sites().equals(h.sites())) {
            hands.sites(h.sites());
            journal.log("sites", "out", String.join(" ", h.sites()));
        }
        if (!old.banned().equals(h.banned()) || !old.back().equals(h.back())) {
            hands.engines(h.banned(), h.back(), done);
            journal.log("maintenance", "out", String.join(" ", h.banned()));
        } else {
            done.run();
        }
    }

    /** Answers one call. Any thread. */
    public String call(String line) {
        journal.count("console_calls");
        CountDownLatch done = new CountDownLatch(1);
        MaintenanceState.Verdict v;
        boolean others;
        Exception failure = null;
        synchronized (this) {
            MaintenanceState.Held known = held.listed(listed);
            Map<String, String> sites = hands.sites();
            v = MaintenanceState.call(known, line, hands.ready(), System.currentTimeMillis(), sites);
            if (v.refused() != null) {
                journal.count("console_refused");
                return "FAILURE " + v.refused();
            }
            if (v.asks()) {
                return "SUCCESS " + v.said();
            }
            if (v.after() == known) {
                // Nothing changes; but what holds may still be on its way to the module.
                hands.engines(held.banned(), held.back(), done::countDown);
            } else {
                try {
                    long now = System.currentTimeMillis();
                    take(
                            file.change(held, h -> MaintenanceState.call(h.listed(listed), line, true, now, sites)
                                    .after()),
                            done::countDown);
                } catch (IOException | RuntimeException e) {
                    // It is carried out all the same; that it won't outlast this process is said.
                    unsaved(e);
                    failure = e;
                    take(v.after(), done::countDown);
                }
            }
            others = others(held);
        }
        try {
            if (!done.await(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                return "FAILURE not yet carried out; call again";
            }
            if (others) {
                Thread.sleep(OTHER_MS); // The other process follows the file meanwhile.
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        journal.log("console-call", "call", line, "answer", v.said());
        return failure == null
                ? "SUCCESS " + v.said()
                : "FAILURE " + v.said() + ", but not kept for an upgrade: " + failure.getMessage();
    }
}
