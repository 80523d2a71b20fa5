package magpiehub.discovery;

import java.io.IOException;
import java.util.List;
import magpiehub.discovery.ListUpdateResult.Outcome;

/**
 * Handles the events of the calls to a registry: applies lists and changes, and decides what to do when the list must
 * be read again or a call has failed. Used by the thread of {@link RegistryClient}'s actor only.
 */
final class RegistryEventHandler {
    /**
     * How long an endpoint that delivered an older list is not called, so that another endpoint is asked for the second
     * read: two older lists from the same lagging endpoint do not prove that the registry was restored from a backup.
     */
    private static final long SECOND_READ_PAUSE_MICROS = 1_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final RegistrySessions sessions;
    private final RegistryListTracker tracker;
    private final EndpointListState list;
    private final RegistryEventLog log;
    private final RegistryClientObserver observer;
    /** When a registry last responded successfully; 0 before the first response. */
    private long lastAnswerMicros;

    RegistryEventHandler(RegistrySessions sessions, RegistryListTracker tracker, RegistryClientContext context) {
        this.sessions = sessions;
        this.tracker = tracker;
        this.list = tracker.list();
        this.log = context.log();
        this.observer = context.observer();
    }

    /** Returns when a registry last responded successfully; 0 before the first response. */
    long lastAnswerMicros() {
        return lastAnswerMicros;
    }

    /** Handles an event of a call in progress. */
    void onEvent(RegistryCall call, RegistryCallEvent event, long nowMicros) {
        call.lastEventAtMicros = nowMicros;
        if (event instanceof RegistryCallEvent.ChangesReceived changes) {
            onChanges(call, changes, nowMicros);
        } else if (event instanceof RegistryCallEvent.PositionChecked check) {
            onPositionChecked(call, check, nowMicros);
        } else if (event instanceof RegistryCallEvent.CompleteListRead complete) {
            onCompleteList(call, complete, nowMicros);
        } else if (event instanceof RegistryCallEvent.WatchOpened opened) {
            onWatchOpened(call, opened, nowMicros);
        } else if (event instanceof RegistryCallEvent.WatchResumed resumed) {
            relistIfRequired(
                    call,
                    list.checkResume(resumed.header(), call.requestedAt, resumed.lastChanged(), resumed.count()),
                    nowMicros);
        } else if (event instanceof RegistryCallEvent.Compacted compacted) {
            log.compacted(call, compacted.reason(), list.position());
            list.markCompacted();
        }
    }

    private void onWatchOpened(RegistryCall call, RegistryCallEvent.WatchOpened opened, long nowMicros) {
        call.watchOpen = true;
        call.deadlineMicros = Long.MAX_VALUE;
        if (!relistIfRequired(call, list.checkPosition(opened.header()), nowMicros)) {
            recordAnswer(call, nowMicros);
        }
    }

    private void onCompleteList(RegistryCall call, RegistryCallEvent.CompleteListRead read, long nowMicros) {
        RegistrySession session = call.session;
        boolean trusted = !session.isListed() && session == sessions.current();
        boolean hadPosition = list.position().isKnown();
        ListUpdateResult result = list.applyCompleteList(read.position(), call.requestedAt, read.items(), trusted);
        observer.updated(list, result, false);
        if (result.outcome() == Outcome.LAGGING) {
            log.listLagging(call, result.reason());
            list.markCompacted();
            call.deliveredLaggingList = true;
            session.endpoints().recordStaleAnswer(call.endpoint, nowMicros, SECOND_READ_PAUSE_MICROS);
            return;
        }
        recordAnswer(call, nowMicros);
        if (result.outcome() == Outcome.APPLIED) {
            session.recordList(call, nowMicros);
            if (session == sessions.current()) {
                sessions.closeFormer();
            }
            if (result.delta().historyChanged() && hadPosition) {
                log.historyChanged(call, read.position());
            }
            tracker.publish(result.delta(), nowMicros);
            log.countList();
            tracker.logUnreadableKeys();
        }
        if (call.confirmation) {
            tracker.confirm(read.items(), nowMicros);
        }
    }

    private void onChanges(RegistryCall call, RegistryCallEvent.ChangesReceived changes, long nowMicros) {
        ListUpdateResult result = list.applyChanges(changes.position(), changes.items());
        observer.updated(list, result, true);
        if (relistIfRequired(call, result, nowMicros)) {
            return;
        }
        recordAnswer(call, nowMicros);
        if (result.outcome() != Outcome.APPLIED) {
            return;
        }
        log.countChanges();
        if (!result.delta().isEmpty()) {
            tracker.publish(result.delta(), nowMicros);
        }
        if (containsUnreadable(changes.items())) {
            tracker.logUnreadableKeys();
        }
    }

    private static boolean containsUnreadable(List<ListItem> items) {
        for (ListItem item : items) {
            if (item.unreadable() != null) {
                return true;
            }
        }
        return false;
    }

    private void onPositionChecked(RegistryCall call, RegistryCallEvent.PositionChecked check, long nowMicros) {
        RegistryCall watch = call.session.watch();
        if (watch == null) {
            return;
        }
        ListUpdateResult result =
                list.checkWatch(check.header(), call.requestedAt, check.newestRevision(), check.count());
        if (relistIfRequired(watch, result, nowMicros)) {
            return;
        }
        recordAnswer(call, nowMicros);
        if (list.isBehindSource()) {
            call.session.recheckSoon(call);
        }
    }

    /** If only a complete list can resolve the result, cancels the main call, so that the list is read at once. */
    private boolean relistIfRequired(RegistryCall call, ListUpdateResult result, long nowMicros) {
        if (!result.requiresRelist()) {
            return false;
        }
        RegistrySession session = call.session;
        log.relistRequired(call, result.reason(), list.position());
        if (result.suspectsEndpoint()) {
            long pause = session.settings().backoff().baseMicros();
            session.endpoints().recordStaleAnswer(call.endpoint, nowMicros, pause);
        }
        session.abandonMainCall(nowMicros);
        return true;
    }

    private void recordAnswer(RegistryCall call, long nowMicros) {
        boolean wasDown = call.session.recordSuccess(call);
        long lagMillis = lastAnswerMicros == 0 ? 0 : (nowMicros - lastAnswerMicros) / MICROS_PER_MILLI;
        lastAnswerMicros = nowMicros;
        if (wasDown) {
            log.recovered(call, list.position(), lagMillis);
        }
    }

    /** Handles the end of a call; {@code failure} is null if it succeeded. */
    void onEnded(RegistryCall call, IOException failure, long nowMicros) {
        RegistrySession session = call.session;
        boolean wasMain = session.remove(call, nowMicros);
        if (failure == null) {
            if (wasMain) {
                session.delayNextQuery(call, nowMicros);
            }
            return;
        }
        boolean wasWatch = wasMain && call.kind == RegistryCallKind.WATCH;
        if (wasWatch && list.requiresRelist() && session.isListed()) {
            return; // The list is compacted or must be read again, but the endpoint is healthy.
        }
        if (call.confirmation) {
            session.requestConfirmation();
        }
        log.callFailed(call, failure.getMessage() == null ? failure.toString() : failure.getMessage());
        long retryAfterMicros = failure instanceof HttpStatusException status ? status.retryAfterMicros() : 0;
        session.recordFailure(call, wasMain, classify(call, failure), retryAfterMicros, nowMicros);
    }

    private static EndpointFailure classify(RegistryCall call, IOException failure) {
        if (failure instanceof RegistryCallTimeoutException) {
            return EndpointFailure.TIMEOUT;
        }
        if (failure instanceof RegistryErrorException) {
            return EndpointFailure.ERROR_RESPONSE;
        }
        return call.wasLostWhileIdle() ? EndpointFailure.IDLE_CONNECTION_LOST : EndpointFailure.CONNECTION_LOST;
    }
}
