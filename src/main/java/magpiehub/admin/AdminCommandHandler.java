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
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.EventLog;

/**
 * Executes operator commands: updates the {@link MaintenanceState}, stores it in the file that both processes of an
 * upgrade share, and applies it to the router through {@link MaintenanceActions}.
 *
 * <p>A command is answered with success only once it is stored and no request of this process can start any more that
 * goes against it. What the other process stores is applied here within a tenth of a second. Safe for use by several
 * threads; no method waits for the router's own threads but {@link #handle}.
 */
public final class AdminCommandHandler {
    /** How often the file is read: a command to the other process is to be applied here within a second. */
    private static final long FILE_POLL_MICROS = 100_000;

    /** How long a command may take to be applied in this process. */
    private static final long APPLY_TIMEOUT_MILLIS = 700;

    /** How long the other process of an upgrade is given to read the file. */
    private static final long OTHER_PROCESS_MILLIS = 2 * FILE_POLL_MICROS / 1000;

    private final MaintenanceStateFile file;
    private final MaintenanceActions actions;
    private final MonotonicClock clock;
    private final EventLog log;
    private final ServingProcesses processes = new ServingProcesses();
    /** Every id that the endpoint list has named to this process. */
    private final Set<String> listedIds = ConcurrentHashMap.newKeySet();
    /** The state that was last applied. Guarded by this. */
    private MaintenanceState state = MaintenanceState.INITIAL;
    /** Whether {@link #listedIds} holds ids that are not stored yet. */
    private volatile boolean hasUnstoredIds;

    /**
     * What came of a command.
     *
     * @param result the command's meaning and answer
     * @param storeFailure why the new state could not be stored; null if it was stored or did not change
     * @param isAnotherProcessServing whether another process has to apply the new state as well
     */
    private record Execution(CommandResult result, Exception storeFailure, boolean isAnotherProcessServing) {}

    /** Creates a handler that reads, writes and applies nothing until {@link #start}. */
    public AdminCommandHandler(
            Path folder, String routerName, MaintenanceActions actions, MonotonicClock clock, EventLog log) {
        this.file = new MaintenanceStateFile(folder, routerName, log);
        this.actions = actions;
        this.clock = clock;
        this.log = log;
    }

    /** Applies the stored state, and from then on follows the file on a thread of its own. */
    public void start() {
        followFile();
        DaemonThreads.newThread("operators", this::pollFile).start();
    }

    private void pollFile() {
        Mailbox<Object> timer = new Mailbox<>(clock, 0);
        try {
            while (true) {
                timer.take(clock.micros() + FILE_POLL_MICROS);
                followFile();
                if (hasUnstoredIds) {
                    hasUnstoredIds = false;
                    changeState(stored -> stored.withListed(listedIds));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Notes ids that the endpoint list names: commands are accepted for these. */
    public void onListed(Collection<String> ids) {
        if (listedIds.addAll(ids)) {
            hasUnstoredIds = true;
        }
    }

    /** Records that this process serves from now on, as the newest. */
    public void onServing() {
        changeState(stored -> stored.withServing(processes.ownPid(), processes.ended(stored)));
    }

    /** Records that this process has ended its service. */
    public void onServiceEnded() {
        changeState(stored -> stored.withoutServing(processes.ownPid()));
    }

    /** Whether another process began to serve after this one and is alive: it takes over the clients. */
    public boolean hasSuccessor() {
        MaintenanceState stored = file.read();
        return stored != null && processes.isAnotherAlive(stored) && processes.isAnotherNewest(stored);
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

    private synchronized void followFile() {
        MaintenanceState stored = file.read();
        if (stored != null && stored.version() > state.version()) {
            apply(stored, () -> {});
        }
    }

    /** Makes a state the current one, and passes on what differs from the one before. Called with the lock held. */
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

    /** Executes one command line and returns its answer, a line without its end. Waits until the command is applied. */
    public String handle(String line) {
        log.count("console_calls");
        CountDownLatch applied = new CountDownLatch(1);
        Execution execution = execute(line, applied);
        CommandResult result = execution.result();
        if (result.isRejected()) {
            log.count("console_refused");
            return AdminAnswers.failure(result.text());
        }
        if (result.isQuery()) {
            return AdminAnswers.success(result.text());
        }
        if (!awaitApplied(applied, execution.isAnotherProcessServing())) {
            return AdminAnswers.failure("not yet carried out; call again");
        }
        log.log("console-call", "call", line, "answer", result.text());
        Exception failure = execution.storeFailure();
        return failure == null
                ? AdminAnswers.success(result.text())
                : AdminAnswers.failure(result.text() + ", but not kept for an upgrade: " + failure.getMessage());
    }

    private synchronized Execution execute(String line, CountDownLatch applied) {
        MaintenanceState before = state.withListed(listedIds);
        CommandContext context =
                new CommandContext(actions.isReady(), System.currentTimeMillis(), actions.siteStatus());
        CommandResult result = AdminCommandInterpreter.execute(before, line, context);
        if (result.isRejected() || result.isQuery()) {
            return new Execution(result, null, false);
        }
        Exception storeFailure = null;
        if (result.state().version() == before.version()) {
            // Nothing changes; but an earlier command's change may still be on its way to the router's threads.
            actions.setReplicasOutOfService(state.outOfService(), state.returnedAtUnixMillis(), applied::countDown);
        } else {
            storeFailure = storeAndApply(line, context, result, applied);
        }
        return new Execution(result, storeFailure, processes.isAnotherAlive(state));
    }

    /** Executes the command on what the file holds by now. Returns why that could not be stored, or null. */
    private Exception storeAndApply(String line, CommandContext context, CommandResult result, CountDownLatch applied) {
        try {
            MaintenanceState stored = file.change(
                    state, latest -> AdminCommandInterpreter.execute(latest.withListed(listedIds), line, context)
                            .state());
            apply(stored, applied::countDown);
            return null;
        } catch (IOException | RuntimeException e) {
            // The command is applied all the same; its answer says that it won't outlast this process.
            logStoreFailure(e);
            apply(result.state(), applied::countDown);
            return e;
        }
    }

    /** Whether the command was applied in time; waits for the other process of an upgrade as well. */
    private static boolean awaitApplied(CountDownLatch applied, boolean isAnotherProcessServing) {
        try {
            if (!applied.await(APPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                return false;
            }
            if (isAnotherProcessServing) {
                Thread.sleep(OTHER_PROCESS_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return true;
    }
}
