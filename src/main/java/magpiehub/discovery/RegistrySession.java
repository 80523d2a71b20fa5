package magpiehub.discovery;

import java.io.IOException;
import javax.net.ssl.SSLContext;

/**
 * Manages the calls to one registry: at most one main call (a list or a watch, whose events update the list) and at
 * most one side call (a position check of the watch, or a second read that confirms a suspicious list). Decides when
 * the next call is due, which endpoint it goes to, and when it times out. Used by the thread of
 * {@link RegistryClient}'s actor only.
 */
final class RegistrySession {
    /**
     * The initial limit on the duration of a list call that keeps receiving data. Leaves time for another endpoint to
     * deliver its list within the 6 s in which the registry's content must reach the router.
     */
    private static final long MIN_LIST_DURATION_LIMIT_MICROS = 3_000_000;
    /** The highest limit on the duration of a list call that keeps receiving data. */
    private static final long MAX_LIST_DURATION_LIMIT_MICROS = 30_000_000;
    /**
     * The delay between a check that found changes the watch has not delivered, and the check that decides whether the
     * watch is broken.
     */
    private static final long RECHECK_DELAY_MICROS = 300_000;
    /** The minimum interval between lists, in case each list must be read again as soon as it is applied. */
    private static final long MIN_LIST_INTERVAL_MICROS = 250_000;

    private final DiscoverySettings settings;
    private final RegistryProtocol protocol;
    private final SSLContext tls;
    private final RegistryEndpoints endpoints;
    private final RegistryEventLog log;
    private final RegistryCallChannel mainChannel;
    private final RegistryCallChannel sideChannel;
    private RegistryCall mainCall;
    private RegistryCall sideCall;
    /** Whether this registry has delivered a complete list. */
    private boolean listReceived;
    /** Whether the last call failed. */
    private boolean lastCallFailed;

    private boolean confirmationRequested;
    private long nextMainCallMicros;
    private long nextCheckMicros = Long.MIN_VALUE;
    private long lastListAtMicros = Long.MIN_VALUE / 2;
    /**
     * The current limit on the duration of a list call: at least twice the duration of the last successful one, and
     * doubled when a call exceeds it.
     */
    private long listDurationLimitMicros = MIN_LIST_DURATION_LIMIT_MICROS;

    /** Creates a session and starts its threads; the first call is due at once. */
    RegistrySession(
            DiscoverySettings settings,
            EndpointEntryParser parser,
            RegistryClientContext context,
            long seed,
            long nowMicros)
            throws IOException {
        this.settings = settings;
        this.log = context.log();
        this.mainChannel = new RegistryCallChannel("registry-main", context);
        this.sideChannel = new RegistryCallChannel("registry-side", context);
        this.tls = settings.tls() ? TlsContexts.trusting(settings.trustedAuthorities()) : null;
        this.protocol = RegistryProtocols.create(settings, parser);
        this.endpoints = new RegistryEndpoints(settings.endpoints().size(), settings.backoff(), seed ^ nowMicros);
        this.nextMainCallMicros = nowMicros;
    }

    DiscoverySettings settings() {
        return settings;
    }

    RegistryProtocol protocol() {
        return protocol;
    }

    /** Returns the TLS context, or null for connections without TLS. */
    SSLContext tls() {
        return tls;
    }

    RegistryEndpoints endpoints() {
        return endpoints;
    }

    /** Returns whether this registry has delivered a complete list. */
    boolean hasReceivedList() {
        return listReceived;
    }

    /** Returns the watch in progress, or null. */
    RegistryCall watch() {
        return mainCall != null && mainCall.kind == RegistryCallKind.WATCH ? mainCall : null;
    }

    /** Returns the calls in progress. */
    RegistryCall[] openCalls() {
        if (mainCall == null) {
            return sideCall == null ? new RegistryCall[0] : new RegistryCall[] {sideCall};
        }
        return sideCall == null ? new RegistryCall[] {mainCall} : new RegistryCall[] {mainCall, sideCall};
    }

    /** Returns whether a call is in progress, so that its events apply. */
    boolean isOpen(RegistryCall call) {
        return call == mainCall || call == sideCall;
    }

    /** Requests a second read of the list as a side call. */
    void requestConfirmation() {
        confirmationRequested = true;
    }

    /** Cancels the calls and ends the threads. */
    void close() {
        for (RegistryCall call : openCalls()) {
            call.cancel();
        }
        mainCall = null;
        sideCall = null;
        mainChannel.stop();
        sideChannel.stop();
    }

    /** Returns when the next call is due or the next timeout occurs. */
    long nextTimerMicros() {
        long next = mainCall == null ? nextMainCallMicros : mainCall.deadlineMicros;
        if (sideCall != null) {
            return Math.min(next, sideCall.deadlineMicros);
        }
        return Math.min(next, confirmationRequested ? endpoints.nextReadyAtMicros() : checkDueMicros());
    }

    /** Returns when the next check of the silent watch is due; {@link Long#MAX_VALUE} without an open watch. */
    private long checkDueMicros() {
        RegistryCall watch = watch();
        if (watch == null || !watch.watchOpen) {
            return Long.MAX_VALUE;
        }
        return Math.max(nextCheckMicros, watch.lastEventAtMicros + settings.checkIntervalMicros());
    }

    /** Starts the calls that are due. */
    void startDueCalls(EndpointListState list, long lastResponseMicros, long nowMicros) {
        if (mainCall == null && nowMicros >= nextMainCallMicros) {
            startMainCall(list, lastResponseMicros, nowMicros);
        }
        if (sideCall == null && confirmationRequested) {
            startConfirmation(list, nowMicros);
        }
        if (sideCall == null && checkDueMicros() <= nowMicros) {
            nextCheckMicros = nowMicros + settings.checkIntervalMicros();
            sideCall = newCall(RegistryCallKind.CHECK, mainCall.endpointIndex, false, list, nowMicros);
            sideChannel.start(sideCall);
        }
    }

    private void startMainCall(EndpointListState list, long lastResponseMicros, long nowMicros) {
        int endpoint = endpoints.select(nowMicros);
        if (endpoint < 0) {
            nextMainCallMicros = endpoints.nextReadyAtMicros();
            return;
        }
        boolean needsList = !listReceived || list.requiresRelist();
        if (needsList && nowMicros < lastListAtMicros + MIN_LIST_INTERVAL_MICROS) {
            nextMainCallMicros = lastListAtMicros + MIN_LIST_INTERVAL_MICROS;
            return;
        }
        RegistryCallKind kind = needsList ? RegistryCallKind.LIST : RegistryCallKind.WATCH;
        mainCall = newCall(kind, endpoint, false, list, nowMicros);
        if (kind == RegistryCallKind.WATCH && protocol.watchReturnsCompleteList()) {
            mainCall.deadlineMicros += protocol.maxWatchSilenceMicros();
            mainCall.watchOpen = true;
            // The interval between two queries counts as silence too: nothing was received during it.
            mainCall.lastEventAtMicros = Math.min(nowMicros, lastResponseMicros);
        }
        mainChannel.start(mainCall);
    }

    private void startConfirmation(EndpointListState list, long nowMicros) {
        int endpoint = endpoints.selectAlternative(nowMicros);
        if (endpoint < 0) {
            return;
        }
        confirmationRequested = false;
        sideCall = newCall(RegistryCallKind.LIST, endpoint, true, list, nowMicros);
        sideChannel.start(sideCall);
    }

    private RegistryCall newCall(
            RegistryCallKind kind, int endpoint, boolean confirmation, EndpointListState list, long nowMicros) {
        RegistryCall call = new RegistryCall(this, kind, endpoint, list.position(), nowMicros, confirmation);
        call.deadlineMicros = nowMicros + settings.timeoutMicros();
        log.countCall(kind);
        return call;
    }

    /**
     * Returns whether a call has timed out. The deadline of a list call that keeps receiving data is extended up to the
     * limit on its total duration.
     */
    boolean hasTimedOut(RegistryCall call, long nowMicros) {
        if (call.deadlineMicros > nowMicros) {
            return false;
        }
        long readTimeoutAtMicros = call.lastReadMicros() + settings.timeoutMicros();
        boolean receivesData = call.kind == RegistryCallKind.LIST && readTimeoutAtMicros > nowMicros;
        if (receivesData && call.startedAtMicros + listDurationLimitMicros > nowMicros) {
            call.deadlineMicros = Math.min(call.startedAtMicros + listDurationLimitMicros, readTimeoutAtMicros);
            return false;
        }
        if (receivesData) {
            listDurationLimitMicros = Math.min(MAX_LIST_DURATION_LIMIT_MICROS, 2 * listDurationLimitMicros);
        }
        return true;
    }

    /**
     * Records that an endpoint responded successfully.
     *
     * @return whether the previous call had failed
     */
    boolean recordSuccess(RegistryCall call) {
        endpoints.recordSuccess(call.endpointIndex);
        boolean hadFailed = lastCallFailed;
        lastCallFailed = false;
        return hadFailed;
    }

    /** Records that a call delivered a complete list that has been applied. */
    void recordList(RegistryCall call, long nowMicros) {
        listReceived = true;
        lastListAtMicros = nowMicros;
        long durationMicros = call.kind == RegistryCallKind.LIST ? nowMicros - call.startedAtMicros : 0;
        listDurationLimitMicros = Math.max(MIN_LIST_DURATION_LIMIT_MICROS, 2 * durationMicros);
    }

    /** Schedules the next check soon after one that found changes that the watch has not delivered. */
    void scheduleRecheck(RegistryCall check) {
        nextCheckMicros = check.startedAtMicros + Math.min(RECHECK_DELAY_MICROS, settings.checkIntervalMicros());
        mainCall.lastEventAtMicros = nextCheckMicros - settings.checkIntervalMicros();
    }

    /** Cancels the main call, whose events no longer apply; the next one is due at {@code nextCallMicros}. */
    void cancelMainCall(long nextCallMicros) {
        RegistryCall call = mainCall;
        mainCall = null;
        nextMainCallMicros = nextCallMicros;
        if (call != null) {
            call.cancel();
        }
    }

    /**
     * Removes a call that has ended. The next main call is due at once.
     *
     * @return whether it was the main call
     */
    boolean remove(RegistryCall call, long nowMicros) {
        if (call != mainCall) {
            sideCall = null;
            return false;
        }
        mainCall = null;
        nextMainCallMicros = nowMicros;
        return true;
    }

    /**
     * Delays the next main call after a successful one to the minimum query interval, if each response to a watch is a
     * complete list.
     */
    void delayNextQuery(RegistryCall ended, long nowMicros) {
        if (protocol.watchReturnsCompleteList() && !ended.deliveredLaggingList) {
            nextMainCallMicros = Math.max(nowMicros, ended.startedAtMicros + settings.minQueryIntervalMicros());
        }
    }

    /** Records that a call failed, after its removal, and applies the backoff. */
    void recordFailure(
            RegistryCall call, boolean wasMain, EndpointFailure failure, long retryAfterMicros, long nowMicros) {
        endpoints.recordFailure(call.endpointIndex, nowMicros, failure, retryAfterMicros);
        lastCallFailed = true;
        if (wasMain) {
            nextMainCallMicros = Math.max(nowMicros, endpoints.nextReadyAtMicros());
        } else if (watch() != null && mainCall.endpointIndex == call.endpointIndex) {
            // The watch's endpoint no longer responds, so a silent watch can't be told from a broken one.
            cancelMainCall(Math.max(nowMicros, endpoints.nextReadyAtMicros()));
        }
    }
}
