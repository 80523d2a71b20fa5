package magpiehub.discovery;

import java.io.IOException;
import javax.net.ssl.SSLContext;

/**
 * The calls to one registry: at most one main call (a list or a watch, whose events make the list) and one
 * beside it (a check that the watch is alive, or a second read of a doubted list). Decides when the next call
 * is due, which endpoint it goes to, and how long it may take. Belongs to the thread of {@link RegistryClient}'s
 * actor.
 */
final class RegistrySession {
    /**
     * How long a list that keeps coming may take at first: only for so long that another endpoint can deliver
     * its own within the 6 s after which what a registry has must have reached the router.
     */
    private static final long MIN_LIST_PATIENCE_MICROS = 3_000_000;
    /** How long a list that keeps coming may take at most. */
    private static final long MAX_LIST_PATIENCE_MICROS = 30_000_000;
    /** After a check that saw more than the watch has delivered: how soon the next check decides. */
    private static final long RECHECK_MICROS = 300_000;
    /** Guards against a registry whose lists can't be followed: they are not read without a pause. */
    private static final long MIN_LIST_INTERVAL_MICROS = 250_000;

    private final DiscoverySettings settings;
    private final RegistryProtocol protocol;
    private final SSLContext tls;
    private final RegistryEndpoints endpoints;
    private final RegistryEventLog log;
    private final RegistryCallChannel mainChannel;
    private final RegistryCallChannel sideChannel;
    private RegistryCall main;
    private RegistryCall side;
    /** Whether this registry has delivered a complete list. */
    private boolean listed;
    /** Whether the last call failed. */
    private boolean down;

    private boolean confirmationRequested;
    private long nextMainCallMicros;
    private long nextCheckMicros = Long.MIN_VALUE;
    private long listedAtMicros = Long.MIN_VALUE / 2;
    /** How long a list may keep coming: twice as long as the last one that was given up for it. */
    private long listPatienceMicros = MIN_LIST_PATIENCE_MICROS;

    /** Starts the session's threads; its first call is due at once. */
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

    /** Null for connections without TLS. */
    SSLContext tls() {
        return tls;
    }

    RegistryEndpoints endpoints() {
        return endpoints;
    }

    /** Whether this registry has delivered a complete list. */
    boolean isListed() {
        return listed;
    }

    /** The watch that is open, or null. */
    RegistryCall watch() {
        return main != null && main.kind == RegistryCallKind.WATCH ? main : null;
    }

    /** The calls in progress. */
    RegistryCall[] openCalls() {
        if (main == null) {
            return side == null ? new RegistryCall[0] : new RegistryCall[] {side};
        }
        return side == null ? new RegistryCall[] {main} : new RegistryCall[] {main, side};
    }

    /** Whether a call is one in progress, so that its events count. */
    boolean isOpen(RegistryCall call) {
        return call == main || call == side;
    }

    /** Requests a second read of the list beside the main call. */
    void requestConfirmation() {
        confirmationRequested = true;
    }

    /** Cancels the calls and ends the threads. */
    void close() {
        for (RegistryCall call : openCalls()) {
            call.cancel();
        }
        main = null;
        side = null;
        mainChannel.stop();
        sideChannel.stop();
    }

    /** When a call is due or times out next. */
    long nextTimerMicros() {
        long next = main == null ? nextMainCallMicros : main.deadlineMicros;
        if (side != null) {
            return Math.min(next, side.deadlineMicros);
        }
        return Math.min(next, confirmationRequested ? endpoints.nextReadyAtMicros() : checkDueMicros());
    }

    /** When the watch has been quiet long enough to be checked; {@link Long#MAX_VALUE} without an open watch. */
    private long checkDueMicros() {
        RegistryCall watch = watch();
        if (watch == null || !watch.watchOpen) {
            return Long.MAX_VALUE;
        }
        return Math.max(nextCheckMicros, watch.lastEventAtMicros + settings.checkIntervalMicros());
    }

    /** Starts the calls that are due. */
    void startDueCalls(EndpointListState list, long lastAnswerAtMicros, long nowMicros) {
        if (main == null && nowMicros >= nextMainCallMicros) {
            startMainCall(list, lastAnswerAtMicros, nowMicros);
        }
        if (side == null && confirmationRequested) {
            startConfirmation(list, nowMicros);
        }
        if (side == null && checkDueMicros() <= nowMicros) {
            nextCheckMicros = nowMicros + settings.checkIntervalMicros();
            side = newCall(RegistryCallKind.CHECK, main.endpoint, false, list, nowMicros);
            sideChannel.start(side);
        }
    }

    private void startMainCall(EndpointListState list, long lastAnswerAtMicros, long nowMicros) {
        int endpoint = endpoints.select(nowMicros);
        if (endpoint < 0) {
            nextMainCallMicros = endpoints.nextReadyAtMicros();
            return;
        }
        boolean needsList = !listed || list.requiresRelist();
        if (needsList && nowMicros < listedAtMicros + MIN_LIST_INTERVAL_MICROS) {
            nextMainCallMicros = listedAtMicros + MIN_LIST_INTERVAL_MICROS;
            return;
        }
        RegistryCallKind kind = needsList ? RegistryCallKind.LIST : RegistryCallKind.WATCH;
        main = newCall(kind, endpoint, false, list, nowMicros);
        if (kind == RegistryCallKind.WATCH && protocol.watchReturnsCompleteList()) {
            main.deadlineMicros += protocol.maxQuietMicros();
            main.watchOpen = true;
            // The time between two queries counts: nothing was received in it either.
            main.lastEventAtMicros = Math.min(nowMicros, lastAnswerAtMicros);
        }
        mainChannel.start(main);
    }

    private void startConfirmation(EndpointListState list, long nowMicros) {
        int endpoint = endpoints.selectAlternative(nowMicros);
        if (endpoint < 0) {
            return;
        }
        confirmationRequested = false;
        side = newCall(RegistryCallKind.LIST, endpoint, true, list, nowMicros);
        sideChannel.start(side);
    }

    private RegistryCall newCall(
            RegistryCallKind kind, int endpoint, boolean confirmation, EndpointListState list, long nowMicros) {
        RegistryCall call = new RegistryCall(this, kind, endpoint, list.position(), nowMicros, confirmation);
        call.deadlineMicros = nowMicros + settings.timeoutMicros();
        log.countCall(kind);
        return call;
    }

    /**
     * Whether a call has timed out. A list of which parts keep coming gets a later deadline, until it has taken
     * too long altogether.
     */
    boolean hasTimedOut(RegistryCall call, long nowMicros) {
        if (call.deadlineMicros > nowMicros) {
            return false;
        }
        long silentAtMicros = call.lastReadMicros() + settings.timeoutMicros();
        boolean progresses = call.kind == RegistryCallKind.LIST && silentAtMicros > nowMicros;
        if (progresses && call.startedAtMicros + listPatienceMicros > nowMicros) {
            call.deadlineMicros = Math.min(call.startedAtMicros + listPatienceMicros, silentAtMicros);
            return false;
        }
        if (progresses) {
            listPatienceMicros = Math.min(MAX_LIST_PATIENCE_MICROS, 2 * listPatienceMicros);
        }
        return true;
    }

    /**
     * Notes that an endpoint has answered as it should.
     *
     * @return whether the last call before had failed
     */
    boolean recordSuccess(RegistryCall call) {
        endpoints.recordSuccess(call.endpoint);
        boolean wasDown = down;
        down = false;
        return wasDown;
    }

    /** Notes that a call has delivered a complete list that is now in force. */
    void recordList(RegistryCall call, long nowMicros) {
        listed = true;
        listedAtMicros = nowMicros;
        long taken = call.kind == RegistryCallKind.LIST ? nowMicros - call.startedAtMicros : 0;
        listPatienceMicros = Math.max(MIN_LIST_PATIENCE_MICROS, 2 * taken);
    }

    /** Makes the next check soon after one that saw more than the watch has delivered. */
    void recheckSoon(RegistryCall check) {
        nextCheckMicros = check.startedAtMicros + Math.min(RECHECK_MICROS, settings.checkIntervalMicros());
        main.lastEventAtMicros = nextCheckMicros - settings.checkIntervalMicros();
    }

    /** Cancels the main call, whose events no longer count; the next one is due at a time. */
    void abandonMainCall(long nextCallMicros) {
        RegistryCall call = main;
        main = null;
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
        if (call != main) {
            side = null;
            return false;
        }
        main = null;
        nextMainCallMicros = nowMicros;
        return true;
    }

    /** Delays the next main call after one that ended well, where each answer to a watch is a complete list. */
    void delayNextQuery(RegistryCall ended, long nowMicros) {
        if (protocol.watchReturnsCompleteList() && !ended.deliveredLaggingList) {
            nextMainCallMicros = Math.max(nowMicros, ended.startedAtMicros + settings.minQueryIntervalMicros());
        }
    }

    /** Backs off after a call that failed and was removed. */
    void recordFailure(
            RegistryCall call, boolean wasMain, EndpointFailure failure, long retryAfterMicros, long nowMicros) {
        endpoints.recordFailure(call.endpoint, nowMicros, failure, retryAfterMicros);
        down = true;
        if (wasMain) {
            nextMainCallMicros = Math.max(nowMicros, endpoints.nextReadyAtMicros());
        } else if (watch() != null && main.endpoint == call.endpoint) {
            // The watch's endpoint no longer answers: a quiet watch on it can't be told from a dead one.
            abandonMainCall(Math.max(nowMicros, endpoints.nextReadyAtMicros()));
        }
    }
}
