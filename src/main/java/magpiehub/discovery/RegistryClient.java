package magpiehub.discovery;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.SiteSettings;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.telemetry.EventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * Watches the endpoint list in a registry (etcd or Consul).
 *
 * <p>An actor: its thread owns the list and the sessions, and never blocks on a registry or the disk. Calls run on the
 * threads of {@link RegistryCallChannel}, which post their events as messages; events of a call that is no longer
 * current are dropped. Unless stated otherwise, the public methods only post messages and may be called from any
 * thread.
 *
 * <p>After a change of the settings, events of the previous registry are still applied until the new one has delivered
 * its list.
 */
public final class RegistryClient implements EndpointSource {
    private static final int MAILBOX_BYTES = 16 << 20;

    private final EndpointEntryParser parser;
    private final EndpointListPublisher publisher;
    private final MonotonicClock clock;
    private final RegistryEventLog log;
    private final long seed;
    private final Mailbox<RegistryMessage> mailbox;
    private final AtomicLong bytesRead = new AtomicLong();
    private final RegistryListTracker tracker;
    private final EndpointListCacheWriter cacheWriter;
    private RegistryClientObserver observer = RegistryClientObserver.NONE;
    private RegistryClientContext context;
    private DiscoverySettings settings;
    private RegistrySessions sessions;
    private RegistryEventHandler events;
    private volatile RegistryStatistics statistics;

    /** Creates a client of the registry that the settings describe. */
    public RegistryClient(
            DiscoverySettings settings,
            Supplier<SiteSettings> site,
            UpstreamPool upstreams,
            MonotonicClock clock,
            EventLog log,
            long seed) {
        this(settings, site, new EndpointListPublisher(upstreams), null, clock, log, seed);
    }

    /** Creates a client for tests: its lists go to a listener instead of the upstream pool and the dispatcher. */
    RegistryClient(
            DiscoverySettings settings,
            Supplier<SiteSettings> site,
            EndpointListListener listener,
            MonotonicClock clock,
            EventLog log,
            long seed) {
        this(settings, site, new EndpointListPublisher(null), listener, clock, log, seed);
    }

    private RegistryClient(
            DiscoverySettings settings,
            Supplier<SiteSettings> site,
            EndpointListPublisher publisher,
            EndpointListListener listener,
            MonotonicClock clock,
            EventLog log,
            long seed) {
        this.settings = settings;
        this.parser = EndpointEntryParser.strict(site, clock.micros());
        this.publisher = publisher;
        this.clock = clock;
        this.log = new RegistryEventLog(log);
        this.seed = seed;
        this.mailbox = new Mailbox<>(clock, MAILBOX_BYTES);
        this.tracker = new RegistryListTracker(
                settings.membership(), listener == null ? publisher : listener, this.log, () -> sessions.current()
                        .requestConfirmation());
        this.cacheWriter = new EndpointListCacheWriter(parser, clock, this.log);
    }

    /** Sets the observer, for tests; must be called before {@link #start}. */
    void setObserver(RegistryClientObserver newObserver) {
        observer = newObserver;
    }

    /**
     * Publishes the cached list, if there is one, on the caller's thread, and starts the actor.
     *
     * @param saved not used: this client caches the registry's list in a separate file
     */
    @Override
    public void start(RequestDispatcher dispatcher, byte[] saved) {
        publisher.setDispatcher(dispatcher);
        context = new RegistryClientContext(clock, log, mailbox, bytesRead, observer);
        long now = clock.micros();
        if (settings.cacheFile() != null) {
            restoreCachedList(now);
            DaemonThreads.newThread("registry-disk", cacheWriter::run).start();
        }
        try {
            sessions = new RegistrySessions(newSession(settings, now));
        } catch (IOException e) {
            throw new ConfigurationException("registry.json: " + e.getMessage());
        }
        events = new RegistryEventHandler(sessions, tracker, context);
        context.startThread("registry", this::run);
    }

    private RegistrySession newSession(DiscoverySettings sessionSettings, long now) throws IOException {
        return new RegistrySession(sessionSettings, parser, context, seed, now);
    }

    private void restoreCachedList(long now) {
        EndpointListCache cache = new EndpointListCache(settings.cacheFile(), parser);
        try {
            EndpointListCache.CachedList cached = cache.read(System.currentTimeMillis(), settings.maxCacheAgeMicros());
            if (cached == null) {
                return;
            }
            ListDelta delta = tracker.restore(cached.items(), now);
            observer.onListUpdate(
                    tracker.list(), new ListUpdateResult(ListUpdateResult.Outcome.APPLIED, delta, "saved"), false);
            tracker.publishRestored();
            cacheWriter.markWritten(tracker.list().version());
            log.cacheRestored(cached, tracker.list().size());
        } catch (IOException | RuntimeException e) {
            log.cacheRejected(settings.cacheFile(), e);
        }
    }

    @Override
    public boolean hasUsableList() {
        return tracker.isPublished();
    }

    /** Returns at once: the router starts with the cached list or without one until the registry responds. */
    @Override
    public void awaitUsableList(long timeoutMillis) {}

    /** Has the list reported as unchanged: the client keeps watching by itself. */
    @Override
    public void watch() {
        mailbox.post(new RegistryMessage.ListRequested());
    }

    /** Does nothing: the client watches the list until it is stopped. */
    @Override
    public void unwatch() {}

    /** Has the list reported as unchanged: the client keeps watching by itself. */
    @Override
    public void fetch() {
        mailbox.post(new RegistryMessage.ListRequested());
    }

    /** Returns the overlay, whose listener must be set before {@link #start}. */
    @Override
    public MaintenanceOverlay maintenanceOverlay() {
        return publisher.overlay();
    }

    @Override
    public void applyMaintenance(Set<String> outOfService, Map<String, Long> backSinceMicros, Runnable onApplied) {
        MaintenanceUpdate update = new MaintenanceUpdate(outOfService, backSinceMicros, onApplied);
        mailbox.post(new RegistryMessage.MaintenanceChanged(update));
    }

    /** Applies changed settings, and connects to the registry that they describe. */
    public void changeSettings(DiscoverySettings newSettings) {
        mailbox.post(new RegistryMessage.SettingsChanged(newSettings));
    }

    /** Cancels the client's calls and ends its threads. */
    public void stop() {
        mailbox.post(new RegistryMessage.StopRequested());
    }

    /** Returns the number of bytes read from registries since the start. */
    long bytesRead() {
        return bytesRead.get();
    }

    @Override
    public String counterLines() {
        RegistryStatistics latest = statistics;
        return latest == null ? "" : latest.counterLines(clock.micros(), bytesRead.get());
    }

    private void run() {
        try {
            boolean running = true;
            while (running) {
                running = runTurn();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for a message or a timer and handles it; returns false once the client is stopped. */
    private boolean runTurn() throws InterruptedException {
        RegistryMessage message = mailbox.take(nextTimerMicros());
        long now = clock.micros();
        try {
            if (message instanceof RegistryMessage.StopRequested) {
                sessions.close();
                mailbox.close();
                return false;
            }
            if (message != null) {
                handle(message, now);
            }
            onTimer(now);
            statistics = currentStatistics();
        } catch (RuntimeException | OutOfMemoryError e) {
            // The actor goes on with the next message. A call that was not passed to its channel times out.
            log.exception(e);
        }
        return true;
    }

    private void handle(RegistryMessage message, long now) {
        if (message instanceof RegistryMessage.CallEventReceived received) {
            if (received.call().session.isOpen(received.call())) {
                events.onEvent(received.call(), received.event(), now);
            }
        } else if (message instanceof RegistryMessage.CallEnded ended) {
            if (ended.call().session.isOpen(ended.call())) {
                events.onCallEnded(ended.call(), ended.failure(), now);
            }
        } else if (message instanceof RegistryMessage.ListRequested) {
            tracker.publishUnchanged();
        } else if (message instanceof RegistryMessage.MaintenanceChanged changed) {
            publisher.applyMaintenance(changed.update());
        } else if (message instanceof RegistryMessage.SettingsChanged changed) {
            onSettingsChanged(changed.settings(), now);
        }
    }

    private void onSettingsChanged(DiscoverySettings newSettings, long now) {
        if (newSettings.equals(settings)) {
            return;
        }
        RegistrySession replacement;
        try {
            replacement = newSession(newSettings, now);
        } catch (IOException | ConfigurationException e) {
            log.settingsRejected(e);
            return;
        }
        log.settingsChanged(newSettings);
        if (!newSettings.membership().equals(settings.membership())) {
            tracker.changeSettings(newSettings.membership(), now);
        }
        settings = newSettings;
        sessions.replace(replacement);
    }

    private long nextTimerMicros() {
        long next = Math.min(tracker.membership().nextTimerMicros(), sessions.nextTimerMicros());
        return tracker.isPublished() ? Math.min(next, cacheWriter.nextWriteMicros(settings, tracker.list())) : next;
    }

    private void onTimer(long now) {
        tracker.onTimer(now);
        RegistrySession previous = sessions.previous();
        if (previous != null) {
            advance(previous, now);
        }
        advance(sessions.current(), now);
        if (tracker.isPublished()) {
            cacheWriter.writeIfDue(settings, tracker.list(), now);
        }
    }

    /** Cancels the calls of a session that have timed out, and starts those that are due. */
    private void advance(RegistrySession session, long now) {
        for (RegistryCall call : session.openCalls()) {
            if (session.hasTimedOut(call, now)) {
                call.cancel();
                events.onCallEnded(call, new RegistryCallTimeoutException(), now);
            }
        }
        session.startDueCalls(tracker.list(), events.lastResponseMicros(), now);
    }

    private RegistryStatistics currentStatistics() {
        EndpointListState list = tracker.list();
        MembershipDamping membership = tracker.membership();
        return new RegistryStatistics(
                list.position(),
                list.version(),
                list.size(),
                events.lastResponseMicros(),
                list.duplicateChanges(),
                membership.heldIds().size(),
                membership.suppressedCount(),
                membership.statistics());
    }
}
