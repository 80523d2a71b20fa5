package magpiehub.discovery.platform;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.Json;
import magpiehub.config.SiteSettings;
import magpiehub.discovery.EndpointEntryParser;
import magpiehub.discovery.EndpointListPublisher;
import magpiehub.discovery.EndpointListState;
import magpiehub.discovery.EndpointSource;
import magpiehub.discovery.ListDelta;
import magpiehub.discovery.ListUpdateResult;
import magpiehub.discovery.MaintenanceOverlay;
import magpiehub.discovery.MaintenanceUpdate;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.telemetry.EventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * The client of the platform's discovery. It calls discovery when the dispatcher requests it and passes received
 * updates through an {@link EndpointListState}, which enforces the order of revisions. {@link WatchScheduler} decides
 * which calls are open. Received lists are trusted: there is no flap damping, and removals need no confirmation.
 *
 * <p>An actor: the public methods only post messages, unless documented otherwise, and may be called from any thread.
 */
public final class PlatformDiscovery implements EndpointSource {
    /** The number of different causes of malformed lists that are logged, each of them once. */
    private static final int MAX_LOGGED_CAUSES = 32;

    private static final int MAILBOX_BYTES = 8 << 20;
    private static final long MICROS_PER_MILLI = 1000;
    private static final String LIST_TARGET = "/discovery/hosts";

    private final Supplier<SiteSettings> site;
    private final EndpointListPublisher publisher;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Mailbox<PlatformMessage> mailbox;
    private final EndpointEntryParser entryParser;
    private final PlatformCallReader reader;
    private final Executor readerThreads;
    private final EndpointListState list = new EndpointListState();
    private final WatchScheduler watches;
    private final Set<String> loggedCauses = new HashSet<>();
    /** The open call that reads the list once; null for none. */
    private PlatformCall listCall;

    private long listCallTimesOutAtMicros = Long.MAX_VALUE;
    /** The address that the list, and so its revision, was received from. */
    private String listAddress;

    private final EndpointListLease lease = new EndpointListLease();

    /** Whether there is a list that discovery has delivered, or a saved one that contains a live endpoint. */
    private volatile boolean hasList;
    /** The time until which the list may be used, as last returned by the lease. */
    private volatile long validUntilMicros = EndpointListLease.NEVER_VALID;
    /** Released when there is a list that may be used for the first time. */
    private final CountDownLatch firstUsableList = new CountDownLatch(1);
    /** Whether the lease has expired, which was logged, or has not started yet. */
    private boolean leaseExpired = true;

    /** Creates a client of the discovery at an address. */
    public PlatformDiscovery(
            String address,
            Supplier<SiteSettings> site,
            UpstreamPool upstreams,
            MonotonicClock clock,
            EventLog log,
            long seed) {
        this(address, site, upstreams, clock, log, seed, call -> DaemonThreads.newThread("discovery-reader", call)
                .start());
    }

    /** Creates a client with an executor that runs each call on its own thread, or throws if it can't start one. */
    PlatformDiscovery(
            String address,
            Supplier<SiteSettings> site,
            UpstreamPool upstreams,
            MonotonicClock clock,
            EventLog log,
            long seed,
            Executor readerThreads) {
        this.watches = new WatchScheduler(address, new WatchTransport(), seed);
        this.listAddress = address;
        this.site = site;
        this.entryParser = EndpointEntryParser.lenient(site, clock.micros());
        this.publisher = new EndpointListPublisher(upstreams);
        this.clock = clock;
        this.log = log;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        this.reader = new PlatformCallReader(entryParser, clock, mailbox);
        this.readerThreads = readerThreads;
    }

    /** Publishes the saved list, if there is one, on the caller's thread, and starts the actor. */
    @Override
    public void start(RequestDispatcher dispatcher, byte[] saved) {
        publisher.setDispatcher(dispatcher);
        publisher.deliverValidity(validUntilMicros);
        if (saved != null) {
            try (JsonParser json = Json.FACTORY.createParser(saved)) {
                json.nextToken();
                restore(PlatformListUpdate.parse(json, entryParser));
            } catch (IOException | ConfigurationException e) {
                log.log("known-list-unreadable", "error", e.getMessage());
            }
        }
        DaemonThreads.newThread("discovery", this::run).start();
    }

    @Override
    public boolean hasUsableList() {
        return hasList && clock.micros() < validUntilMicros;
    }

    @Override
    public void awaitUsableList(long timeoutMillis) throws InterruptedException {
        boolean inTime = firstUsableList.await(timeoutMillis, TimeUnit.MILLISECONDS);
        if (!inTime) {
            log.log("list-not-known", "waited_ms", Long.toString(timeoutMillis));
        }
    }

    @Override
    public void watch() {
        mailbox.post(new PlatformMessage.WatchRequested());
    }

    @Override
    public void unwatch() {
        mailbox.post(new PlatformMessage.WatchCancelled());
    }

    @Override
    public void fetch() {
        mailbox.post(new PlatformMessage.ListRequested());
    }

    /** The overlay; its consumer of listed ids must be set before the start. */
    @Override
    public MaintenanceOverlay maintenanceOverlay() {
        return publisher.overlay();
    }

    @Override
    public void applyMaintenance(Set<String> outOfService, Map<String, Long> returnedAtMicros, Runnable onApplied) {
        MaintenanceUpdate update = new MaintenanceUpdate(outOfService, returnedAtMicros, onApplied);
        mailbox.post(new PlatformMessage.MaintenanceChanged(update));
    }

    /** Changes discovery's address. */
    public void changeAddress(String address) {
        mailbox.post(new PlatformMessage.AddressChanged(address));
    }

    private void run() {
        try {
            while (true) {
                processNext();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the next message or timer and handles it. */
    private void processNext() throws InterruptedException {
        try {
            PlatformMessage message = mailbox.take(nextTimerMicros());
            long now = clock.micros();
            if (message == null) {
                onTimer(now);
            } else {
                handle(message, now);
            }
        } catch (RuntimeException | OutOfMemoryError e) {
            // The actor continues with the next message. A call that was left without a reader times out.
            log.count("discovery_exceptions");
            log.log("discovery-exception", "error", e.toString());
        }
    }

    private void handle(PlatformMessage message, long now) {
        if (message instanceof PlatformMessage.WatchRequested) {
            watches.requestWatch(now);
        } else if (message instanceof PlatformMessage.ListRequested) {
            requestList(now);
        } else if (message instanceof PlatformMessage.WatchCancelled) {
            watches.closeAll();
        } else if (message instanceof PlatformMessage.AddressChanged changed) {
            onAddressChanged(changed.address(), now);
        } else if (message instanceof PlatformMessage.MaintenanceChanged changed) {
            publisher.applyMaintenance(changed.update());
        } else if (message instanceof PlatformMessage.UpdateReceived received && isOpen(received.call())) {
            onUpdate(received.call(), received.update(), now);
        } else if (message instanceof PlatformMessage.HeartbeatReceived received && isOpen(received.call())) {
            onHeartbeat(received.call(), now);
        } else if (message instanceof PlatformMessage.CallEnded ended && isOpen(ended.call())) {
            onCallEnded(ended);
        }
        publishLease(now);
    }

    private long nextTimerMicros() {
        long next = Math.min(watches.nextTimerMicros(), listCall == null ? Long.MAX_VALUE : listCallTimesOutAtMicros);
        return leaseExpired ? next : Math.min(next, validUntilMicros);
    }

    private void onTimer(long now) {
        if (listCall != null && listCallTimesOutAtMicros <= now) {
            onListCallFailed("silent");
        }
        watches.onTimer(now);
        publishLease(now);
    }

    /** Publishes the lease if it was renewed, and logs when it expires and when it becomes valid again. */
    private void publishLease(long now) {
        long until = lease.validUntilMicros(site.get().routing().guarantees().stopSendingWithin());
        if (until != validUntilMicros) {
            validUntilMicros = until;
            publisher.deliverValidity(until);
        }
        boolean expired = now >= until;
        if (hasList && !expired) {
            firstUsableList.countDown();
        }
        if (expired == leaseExpired) {
            return;
        }
        leaseExpired = expired;
        if (expired) {
            log.count("lists_unconfirmed");
            log.log("list-unconfirmed", "discovery", watches.address());
        } else {
            log.log("list-confirmed", "discovery_down", Boolean.toString(lease.isDiscoveryDown()));
        }
    }

    private void onAddressChanged(String to, long now) {
        String from = watches.address();
        if (watches.changeAddress(to, now)) {
            log.count("discovery_moves");
            log.log("discovery-moved", "from", from, "to", to);
        }
    }

    /** Whether data that a call delivers is still accepted. */
    private boolean isOpen(PlatformCall call) {
        return call.watch ? watches.isOpen(call) : call == listCall;
    }

    /** Opens and closes watch calls. */
    private final class WatchTransport implements WatchScheduler.Transport {
        @Override
        public PlatformCall open(String address) {
            PlatformCall call = new PlatformCall(true, address, clock.micros());
            startCall(call, watchTarget(call));
            return call;
        }

        @Override
        public void close(WatchScheduler.Call call) {
            ((PlatformCall) call).close();
        }

        @Override
        public void onLate(WatchScheduler.Call call, boolean established) {
            log.count(established ? "watches_silent" : "discovery_answers_late");
            log.log(established ? "watch-silent" : "discovery-late", "discovery", call.address);
        }

        @Override
        public void onAbandoned(WatchScheduler.Call call) {
            recordFailure((PlatformCall) call);
        }

        @Override
        public void onFailure(WatchScheduler.Call call, String reason) {
            PlatformCall failed = (PlatformCall) call;
            recordFailure(failed);
            reportFailure(failed, reason);
        }

        private void recordFailure(PlatformCall call) {
            if (call.awaitsFirstData) {
                lease.recordCallFailed(clock.micros(), call.failure);
            }
        }
    }

    private String watchTarget(PlatformCall call) {
        // A revision received from one address means nothing at another.
        boolean resumes = list.position().isKnown() && listAddress.equals(call.address);
        return LIST_TARGET + "?follow=1"
                + (resumes ? "&since=" + list.position().revision() : "");
    }

    private void requestList(long now) {
        // At most one at a time, because each call takes another place in discovery's queue.
        closeListCall();
        listCall = new PlatformCall(false, watches.address(), now);
        listCallTimesOutAtMicros = now + WatchScheduler.TIMEOUT_MICROS;
        startCall(listCall, LIST_TARGET);
    }

    private void closeListCall() {
        if (listCall != null) {
            listCall.close();
        }
        listCall = null;
    }

    private void startCall(PlatformCall call, String target) {
        log.count("discovery_calls");
        try {
            readerThreads.execute(() -> reader.run(call, target));
        } catch (OutOfMemoryError e) {
            // No thread could be started. The call is reported as ended, so that the dispatcher retries in time; a call
            // without a reader would stay open until its timeout.
            mailbox.post(new PlatformMessage.CallEnded(call, e.toString(), false));
        }
    }

    private void onUpdate(PlatformCall call, PlatformListUpdate update, long now) {
        if (call.watch) {
            watches.onData(call, now);
        }
        listAddress = call.address;
        boolean applied = apply(call, update);
        call.awaitsFirstData = false;
        if (applied && (!call.watch || watches.isReliable(call))) {
            lease.recordConfirmed(now);
        }
        if (!call.watch) {
            closeListCall();
        } else if (watches.lacksReliableWatch()) {
            // The update is applied, but the newer watch has failed, so the dispatcher must keep requesting one.
            publisher.deliverError();
        }
    }

    private void onHeartbeat(PlatformCall call, long now) {
        if (call.watch) {
            watches.onData(call, now);
        }
        if (call.watch && watches.isReliable(call)) {
            lease.recordConfirmed(now);
        }
        log.count("discovery_beats");
        if (call.watch && call.awaitsFirstData) {
            // A heartbeat before any update means that nothing has changed since the revision that the watch resumed
            // from.
            call.awaitsFirstData = false;
            publish(EndpointListKind.CHANGES, List.of());
        }
    }

    private void onCallEnded(PlatformMessage.CallEnded ended) {
        if (ended.malformed()) {
            log.count("lists_unreadable");
            if (loggedCauses.size() < MAX_LOGGED_CAUSES && loggedCauses.add(ended.reason())) {
                log.log("list-unreadable", "error", ended.reason());
            }
        }
        if (ended.call().watch) {
            if (watches.isReliable(ended.call())) {
                lease.recordWatchLost();
            }
            watches.onEnded(ended.call(), ended.reason());
        } else {
            onListCallFailed(ended.reason());
        }
    }

    private void onListCallFailed(String reason) {
        PlatformCall failed = listCall;
        closeListCall();
        lease.recordCallFailed(clock.micros(), failed.failure);
        reportFailure(failed, reason);
    }

    private void reportFailure(PlatformCall call, String reason) {
        log.count("discovery_failures");
        log.log(
                "discovery-failed",
                "call",
                call.watch ? "watch" : "list",
                "why",
                reason,
                "failure",
                call.failure.name().toLowerCase(Locale.ROOT),
                "delivered",
                Boolean.toString(!call.awaitsFirstData),
                "open_ms",
                Long.toString((clock.micros() - call.openedAtMicros) / MICROS_PER_MILLI));
        publisher.deliverError();
    }

    private void restore(PlatformListUpdate saved) {
        list.restore(saved.items(), saved.position());
        log.log(
                "list-restored",
                "revision",
                Long.toString(saved.revision()),
                "entries",
                Integer.toString(saved.entries().size()));
        publish(EndpointListKind.SAVED, list.entries());
    }

    /** Applies a list or a change unless a newer one was already applied; returns whether it was applied. */
    private boolean apply(PlatformCall call, PlatformListUpdate update) {
        // The first complete list of a call is applied whatever its revision: discovery may have restarted its
        // numbering.
        ListUpdateResult result = update.complete()
                ? list.applyCompleteList(update.position(), null, update.items(), call.awaitsFirstData)
                : list.applyChanges(update.position(), update.items());
        if (result.outcome() != ListUpdateResult.Outcome.APPLIED) {
            log.count("old_revisions");
            return false;
        }
        if (update.complete()) {
            publish(EndpointListKind.COMPLETE, list.entries());
        } else {
            publish(EndpointListKind.CHANGES, changes(result.delta()));
        }
        log.log(
                "list",
                "revision",
                Long.toString(update.revision()),
                "complete",
                Boolean.toString(update.complete()),
                "entries",
                Integer.toString(update.entries().size()),
                "open_ms",
                Long.toString((clock.micros() - call.openedAtMicros) / MICROS_PER_MILLI));
        return true;
    }

    private static List<EndpointEntry> changes(ListDelta delta) {
        List<EndpointEntry> changes = new ArrayList<>(delta.put());
        delta.removed().forEach(id -> changes.add(removedEntry(id)));
        return changes;
    }

    /** The entry of a removed endpoint, of which only the id is known. */
    private static EndpointEntry removedEntry(String id) {
        return new EndpointEntry(new Endpoint(id, 0, 0, 0, EndpointState.DEAD, 1, 0), null);
    }

    private void publish(EndpointListKind kind, List<EndpointEntry> entries) {
        hasList |= kind != EndpointListKind.SAVED
                || entries.stream().anyMatch(entry -> entry.endpoint().state() == EndpointState.LIVE);
        publisher.deliver(kind, entries);
    }
}
