package magpiehub.admin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.EventLog;

/**
 * Executes operator commands: updates the {@link MaintenanceState}, stores it in the file that both processes of an
 * upgrade share, and applies it to the router through {@link MaintenanceActions}.
 *
 * <p>The response reports success only once the command is stored and this process can't start any request that
 * contradicts it. Changes that the other process stores are applied in this one within 0.1 s. Safe for use by several
 * threads. Only {@link #handle} waits for the router's threads.
 */
public final class AdminCommandHandler {
    /** How often the file is read. A command to the other process must take effect in this one within 1 s. */
    private static final long FILE_POLL_MICROS = 100_000;

    /** How long to wait for a command to be applied in this process. */
    private static final long APPLY_TIMEOUT_MILLIS = 700;

    /** How long to wait for the other process of an upgrade to read the file. */
    private static final long OTHER_PROCESS_WAIT_MILLIS = 2 * FILE_POLL_MICROS / 1000;

    private final MaintenanceStateFile file;
    private final MaintenanceActions actions;
    private final MonotonicClock clock;
    private final EventLog log;
    private final ServingProcesses processes = new ServingProcesses();
    /** All replica ids that were in an endpoint list of this process. */
    private final Set<String> listedIds = ConcurrentHashMap.newKeySet();
    /** The state that was applied last. Guarded by this. */
    private MaintenanceState state = MaintenanceState.INITIAL;
    /** Whether {@link #listedIds} has ids that are not stored yet. */
    private volatile boolean hasUnstoredIds;

    /**
     * The outcome of a command.
     *
     * @param result the command's effect on the state, and its response
     * @param storeFailure why the new state could not be stored; null if it was stored or did not change
     * @param isOtherProcessServing whether another process must apply the new state as well
     */
    private record Execution(CommandResult result, Exception storeFailure, boolean isOtherProcessServing) {}

    /** Creates a handler. It neither accesses the file nor applies a state until {@link #start}. */
    public AdminCommandHandler(
            Path folder, String routerName, MaintenanceActions actions, MonotonicClock clock, EventLog log) {
        this.file = new MaintenanceStateFile(folder, routerName, log);
        this.actions = actions;
        this.clock = clock;
        this.log = log;
    }

    /** Applies the stored state, and starts a thread that applies later changes of the file. */
    public void start() {
        applyFileChanges();
        DaemonThreads.newThread("operators", this::pollFile).start();
    }

    private void pollFile() {
        try {
            while (true) {
                clock.sleepUntil(clock.micros() + FILE_POLL_MICROS);
                applyFileChanges();
                if (hasUnstoredIds) {
                    hasUnstoredIds = false;
                    changeState(stored -> stored.withListedIds(listedIds));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records replica ids of the endpoint list, for which commands are accepted. */
    public void addListedIds(Collection<String> ids) {
        if (listedIds.addAll(ids)) {
            hasUnstoredIds = true;
        }
    }

    /** Records that this process has started to serve, as the newest one. */
    public void onServiceStarted() {
        changeState(stored -> stored.withServingProcess(processes.ownPid(), processes.terminated(stored)));
    }

    /** Records that this process has stopped serving. */
    public void onServiceEnded() {
        changeState(stored -> stored.withoutServingProcess(processes.ownPid()));
    }

    /** Whether a process that started to serve after this one is alive, so that it takes over the clients. */
    public boolean hasSuccessor() {
        MaintenanceState stored = file.read();
        return stored != null && processes.isOtherProcessAlive(stored) && processes.hasNewerProcess(stored);
    }

    private synchronized void changeState(UnaryOperator<MaintenanceState> change) {
        try {
            apply(file.change(state, change), () -> {});
        } catch (IOException | RuntimeException e) {
            logStoreFailure(e);
        }
    }

    private void logStoreFailure(Exception e) {
        log.count("operators_file_failures");
        log.log("operators-file-failed", "error", e.toString());
    }

    private synchronized void applyFileChanges() {
        MaintenanceState stored = file.read();
        if (stored != null && stored.version() > state.version()) {
            apply(stored, () -> {});
        }
    }

    /** Replaces the current state, and applies the differences to the router. Called with the lock held. */
    private void apply(MaintenanceState next, Runnable whenApplied) {
        MaintenanceState previous = state;
        state = next;
        if (previous.standby() != next.standby()) {
            actions.setStandby(next.standby());
            log.log(next.standby() ? "standby" : "active");
        }
        if (!previous.withdrawnSites().equals(next.withdrawnSites())) {
            actions.setWithdrawnSites(next.withdrawnSites());
            log.log("sites", "out", String.join(" ", next.withdrawnSites()));
        }
        if (!previous.outOfService().equals(next.outOfService())
                || !previous.returnedAtUnixMillis().equals(next.returnedAtUnixMillis())) {
            actions.setReplicasOutOfService(next.outOfService(), next.returnedAtUnixMillis(), whenApplied);
            log.log("maintenance", "out", String.join(" ", next.outOfService()));
        } else {
            whenApplied.run();
        }
    }

    /** Executes a command line and returns the response, without a line feed. Waits until the command is applied. */
    public String handle(String line) {
        log.count("console_calls");
        CountDownLatch applied = new CountDownLatch(1);
        Execution execution = execute(line, applied);
        CommandResult result = execution.result();
        if (result.isRejected()) {
            log.count("console_refused");
            return AdminResponses.failure(result.text());
        }
        if (result.isQuery()) {
            return AdminResponses.success(result.text());
        }
        if (!awaitApplied(applied, execution.isOtherProcessServing())) {
            return AdminResponses.failure("not yet carried out; call again");
        }
        log.log("console-call", "call", line, "answer", result.text());
        Exception failure = execution.storeFailure();
        return failure == null
                ? AdminResponses.success(result.text())
                : AdminResponses.failure(result.text() + ", but not kept for an upgrade: " + failure.getMessage());
    }

    private synchronized Execution execute(String line, CountDownLatch applied) {
        MaintenanceState before = state.withListedIds(listedIds);
        CommandContext context =
                new CommandContext(actions.isReady(), System.currentTimeMillis(), actions.siteStatus());
        CommandResult result = AdminCommandInterpreter.execute(before, line, context);
        if (result.isRejected() || result.isQuery()) {
            return new Execution(result, null, false);
        }
        Exception storeFailure = null;
        if (result.state().version() == before.version()) {
            // Nothing changes, but the router's threads may not have applied the same earlier command yet.
            actions.setReplicasOutOfService(state.outOfService(), state.returnedAtUnixMillis(), applied::countDown);
        } else {
            storeFailure = storeAndApply(line, context, result, applied);
        }
        return new Execution(result, storeFailure, processes.isOtherProcessAlive(state));
    }

    /** Executes the command on the latest stored state. Returns the failure to store the new state, or null. */
    private Exception storeAndApply(String line, CommandContext context, CommandResult result, CountDownLatch applied) {
        try {
            MaintenanceState stored = file.change(
                    state, latest -> AdminCommandInterpreter.execute(latest.withListedIds(listedIds), line, context)
                            .state());
            apply(stored, applied::countDown);
            return null;
        } catch (IOException | RuntimeException e) {
            // The command is applied nevertheless; its response says that it will be lost when this process ends.
            logStoreFailure(e);
            apply(result.state(), applied::countDown);
            return e;
        }
    }

    /** Returns whether the command was applied in time. Also waits for the other process of an upgrade. */
    private static boolean awaitApplied(CountDownLatch applied, boolean isOtherProcessServing) {
        try {
            if (!applied.await(APPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                return false;
            }
            if (isOtherProcessServing) {
                Thread.sleep(OTHER_PROCESS_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return true;
    }
}
