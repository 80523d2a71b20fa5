package magpiehub.discovery;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.net.ssl.SSLContext;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.EventLog;

/**
 * Maintains this router's entry in the registry: registers it, renews it before it expires, and removes it when the
 * router stops. {@link RegistrationState} decides which call is due; a {@link RegistrationProtocol} executes the calls
 * on a thread that this class starts.
 */
public final class RouterRegistration {
    private static final long MICROS_PER_MILLI = 1000;

    private enum Message {
        STOP
    }

    private final DiscoverySettings settings;
    private final String id;
    private final String address;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Mailbox<Message> mailbox;
    private final RegistrationState state;
    private final RegistryEndpoints endpoints;
    private final SSLContext tls;
    private final RegistrationProtocol protocol;
    private final CountDownLatch done = new CountDownLatch(1);

    /** The connection in use; closed from another thread by {@link #stop}. */
    private volatile RegistryConnection connection;

    /**
     * Creates a registration.
     *
     * @param settings settings with an {@code announce} object
     * @param routerName the entry's id if the settings have none
     * @param listenAddress the entry's address if the settings have none
     */
    public RouterRegistration(
            DiscoverySettings settings,
            String routerName,
            String listenAddress,
            MonotonicClock clock,
            EventLog log,
            long seed)
            throws IOException {
        RegistrationSettings registration = settings.registration();
        this.settings = settings;
        this.id = registration.id().isEmpty() ? routerName : registration.id();
        this.address = registration.address().isEmpty() ? listenAddress : registration.address();
        this.clock = clock;
        this.log = log;
        this.mailbox = new Mailbox<>(clock, 0);
        this.state = new RegistrationState(registration.ttlMicros(), clock.micros());
        this.endpoints = new RegistryEndpoints(settings.endpoints().size(), settings.backoff(), seed);
        this.tls = settings.tls() ? TlsContexts.trusting(settings.trustedAuthorities()) : null;
        this.protocol = protocol();
    }

    private RegistrationProtocol protocol() {
        RegistrationSettings registration = settings.registration();
        if (settings.kind().equals("etcd")) {
            EtcdClient client = new EtcdClient(EtcdCredentials.of(settings.user(), settings.secret()));
            return new EtcdLeaseRegistration(client, registration.prefix(), id, address, registration.ttlMicros());
        }
        return new ConsulServiceRegistration(
                registration.service(), id, address, registration.ttlMicros(), settings.secret());
    }

    /** Starts the registration's thread. */
    public void start() {
        DaemonThreads.newThread("registry-announce", this::run).start();
    }

    /**
     * Removes the entry and waits until that is done, for at most one and a half times the timeout. May be called
     * from any thread.
     *
     * <p>A call that is still in progress after half of the timeout is cancelled, so that the entry can be removed.
     */
    public void stop(long timeoutMillis) throws InterruptedException {
        mailbox.post(Message.STOP);
        RegistryConnection inUse = connection;
        if (inUse != null && !done.await(timeoutMillis / 2, TimeUnit.MILLISECONDS)) {
            inUse.close();
        }
        if (!done.await(timeoutMillis, TimeUnit.MILLISECONDS)) {
            log.log("registry-deregister-failed", "id", id, "why", "registry did not respond before the stop timeout");
        }
    }

    private void run() {
        try {
            while (true) {
                if (mailbox.take(state.nextStepAtMicros()) == Message.STOP) {
                    state.onStop();
                }
                long now = clock.micros();
                RegistrationState.Step step = state.nextStep(now);
                if (step == RegistrationState.Step.DONE) {
                    return;
                }
                if (step != RegistrationState.Step.NONE) {
                    perform(step, now);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeConnection();
            done.countDown();
        }
    }

    /** Performs a step on a ready endpoint, or postpones it if none is ready; the removal is never postponed. */
    private void perform(RegistrationState.Step step, long now) {
        int selected = endpoints.select(now);
        if (selected < 0 && step != RegistrationState.Step.DEREGISTER) {
            state.onFailed(now, endpoints.nextReadyAtMicros() - now);
            return;
        }
        int endpoint = Math.max(0, selected);
        try {
            call(step, connect(settings.endpoints().get(endpoint)), now);
            endpoints.recordSuccess(endpoint);
        } catch (RegistrationLostException e) {
            endpoints.recordSuccess(endpoint);
            log.count("registry_announcement_lost");
            log.log("registry-announcement-lost", "id", id);
            state.onLost(now);
        } catch (IOException | RuntimeException e) {
            onFailure(step, endpoint, e, now);
        }
    }

    private void call(RegistrationState.Step step, RegistryConnection connected, long now) throws IOException {
        switch (step) {
            case REGISTER -> {
                state.onRegistered(now, protocol.register(connected));
                log.count("registry_announced");
                log.log("registry-announced", "id", id, "address", address, "endpoint", connected.endpoint());
            }
            case KEEP -> state.onRenewed(now, protocol.keepAlive(connected));
            default -> {
                protocol.deregister(connected);
                state.onDeregistered();
                log.log("registry-deregistered", "id", id, "endpoint", connected.endpoint());
            }
        }
    }

    private void onFailure(RegistrationState.Step step, int endpoint, Exception failure, long now) {
        closeConnection();
        log.count("registry_announce_failures");
        log.log(
                "registry-announce-failed",
                "step",
                step.toString(),
                "endpoint",
                settings.endpoints().get(endpoint),
                "why",
                String.valueOf(failure.getMessage()));
        if (failure instanceof HttpStatusException response) {
            endpoints.recordFailure(endpoint, now, EndpointFailure.ERROR_RESPONSE, response.retryAfterMicros());
        } else {
            endpoints.recordFailure(endpoint, now, EndpointFailure.CONNECTION_LOST, 0);
        }
        state.onFailed(now, Math.max(settings.backoff().baseMicros(), endpoints.nextReadyAtMicros() - now));
        if (step == RegistrationState.Step.DEREGISTER) {
            state.onDeregistered(); // The removal is tried once; otherwise the entry expires.
        }
    }

    private RegistryConnection connect(String endpoint) throws IOException {
        RegistryConnection current = connection;
        if (current == null || !current.isReusable() || !current.endpoint().equals(endpoint)) {
            if (current != null) {
                current.close();
            }
            int timeoutMillis = (int) Math.max(1, settings.timeoutMicros() / MICROS_PER_MILLI);
            current = new RegistryConnection(endpoint, tls, clock, new AtomicLong());
            connection = current;
            current.connect(timeoutMillis);
            current.setReadTimeout(timeoutMillis);
        }
        return current;
    }

    private void closeConnection() {
        RegistryConnection current = connection;
        if (current != null) {
            current.close();
        }
    }
}
