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
    private static final long LAGGING_ENDPOINT_PAUSE_MICROS = 1_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final RegistrySessions sessions;
    private final RegistryListTracker tracker;
    private final EndpointListState list;
    private final RegistryEventLog log;
    private final RegistryClientObserver observer;
    /** When a registry last responded successfully; 0 before the first response. */
    private long lastResponseMicros;

    RegistryEventHandler(RegistrySessions sessions, RegistryListTracker tracker, RegistryClientContext context) {
        this.sessions = sessions;
        this.tracker = tracker;
        this.list = tracker.list();
        this.log = context.log();
        this.observer = context.observer();
    }

    /** Returns when a registry last responded successfully; 0 before the first response. */
    long lastResponseMicros() {
        return lastResponseMicros;
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
                    list.checkResume(resumed.header(), call.requestedPosition, resumed.lastChanged(), resumed.count()),
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
            recordResponse(call, nowMicros);
        }
    }

    private void onCompleteList(RegistryCall call, RegistryCallEvent.CompleteListRead read, long nowMicros) {
        RegistrySession session = call.session;
        boolean trusted = !session.hasReceivedList() && session == sessions.current();
        boolean hadPosition = list.position().isKnown();
        ListUpdateResult result =
                list.applyCompleteList(read.position(), call.requestedPosition, read.items(), trusted);
        observer.onListUpdate(list, result, false);
        if (result.outcome() == Outcome.LAGGING) {
            log.listLagging(call, result.reason());
            list.markCompacted();
            call.deliveredLaggingList = true;
            session.endpoints().recordStaleResponse(call.endpointIndex, nowMicros, LAGGING_ENDPOINT_PAUSE_MICROS);
            return;
        }
        recordResponse(call, nowMicros);
        if (result.outcome() == Outcome.APPLIED) {
            session.recordList(call, nowMicros);
            if (session == sessions.current()) {
                sessions.closePrevious();
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
        observer.onListUpdate(list, result, true);
        if (relistIfRequired(call, result, nowMicros)) {
            return;
        }
        recordResponse(call, nowMicros);
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
                list.checkWatch(check.header(), call.requestedPosition, check.newestRevision(), check.count());
        if (relistIfRequired(watch, result, nowMicros)) {
            return;
        }
        recordResponse(call, nowMicros);
        if (list.isBehindSource()) {
            call.session.scheduleRecheck(call);
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
            session.endpoints().recordStaleResponse(call.endpointIndex, nowMicros, pause);
        }
        session.cancelMainCall(nowMicros);
        return true;
    }

    private void recordResponse(RegistryCall call, long nowMicros) {
        boolean hadFailed = call.session.recordSuccess(call);
        long lagMillis = lastResponseMicros == 0 ? 0 : (nowMicros - lastResponseMicros) / MICROS_PER_MILLI;
        lastResponseMicros = nowMicros;
        if (hadFailed) {
            log.recovered(call, list.position(), lagMillis);
        }
    }

    /** Handles the end of a call; {@code failure} is null if it succeeded. */
    void onCallEnded(RegistryCall call, IOException failure, long nowMicros) {
        RegistrySession session = call.session;
        boolean wasMain = session.remove(call, nowMicros);
        if (failure == null) {
            if (wasMain) {
                session.delayNextQuery(call, nowMicros);
            }
            return;
        }
        boolean wasWatch = wasMain && call.kind == RegistryCallKind.WATCH;
        if (wasWatch && list.requiresRelist() && session.hasReceivedList()) {
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
