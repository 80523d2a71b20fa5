package magpiehub.discovery;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.net.ssl.SSLContext;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.http.Http;
import magpiehub.telemetry.EventLog;

/**
 * The actor that keeps this router's own entry in the registry: in etcd a key under a lease
 * ({@code /v3/lease/grant}, {@code /v3/kv/put}, {@code /v3/lease/keepalive}, {@code /v3/lease/revoke}), in
 * Consul a service with a TTL check ({@code /v1/agent/service/register}, {@code /v1/agent/check/pass},
 * {@code /v1/agent/service/deregister}). {@link RegistrationState} says what is due. It owns the lease's id. It
 * must never hold up a request or the program's end: {@link #stop} waits a set time at most.
 */
public final class RouterRegistration {
    /** A word of the registry that the entry is not there. */
    private static final class Lost extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final Options options;
    private final String id;
    private final String address;
    private final MonotonicClock clock;
    private final EventLog journal;
    private final Mailbox<Object> mailbox;
    private final RegistrationState state;
    private final Endpoints endpoints;
    private final SSLContext tls;
    private final EtcdProtocol etcd;
    private final CountDownLatch done = new CountDownLatch(1);
    private volatile RegistryConnection wire;
    private long lease;

    /** An announcer for settings with {@code announce}; {@code address} is the router's own. */
    public RouterRegistration(
            Options options, String name, String address, MonotonicClock clock, EventLog journal, long seed)
            throws IOException {
        Options.Announce a = options.announce();
        this.options = options;
        this.id = a.id().isEmpty() ? name : a.id();
        this.address = a.address().isEmpty() ? address : a.address();
        this.clock = clock;
        this.journal = journal;
        this.mailbox = new Mailbox<>(clock, 0);
        this.state = new RegistrationState(a.ttl(), clock.micros());
        this.endpoints = new Endpoints(options.endpoints().size(), options.waits(), seed);
        this.tls = options.tls() ? TlsContexts.trusting(options.authorities()) : null;
        this.etcd = options.kind().equals("etcd")
                ? new EtcdProtocol(a.prefix(), 1, options.user(), options.secret(), null)
                : null;
    }

    /** Starts its thread. */
    public void start() {
        Mailbox.thread("registry-announce", this::run).start();
    }

    /** Removes the entry, and waits for that at most so long (ms). Any thread. */
    public void stop(long mostMs) throws InterruptedException {
        mailbox.post(this);
        RegistryConnection w = wire;
        if (w != null && !done.await(mostMs / 2, TimeUnit.MILLISECONDS)) {
            w.close(); // A call that hangs is not to keep the last one from being made.
        }
        if (!done.await(mostMs, TimeUnit.MILLISECONDS)) {
            journal.log("registry-deregister-failed", "id", id, "why", "no answer in time");
        }
    }

    private void run() {
        try {
            while (true) {
                if (mailbox.take(state.next()) != null) {
                    state.stop();
                }
                long now = clock.micros();
                RegistrationState.Step step = state.step(now);
                if (step == RegistrationState.Step.DONE) {
                    return;
                }
                if (step != RegistrationState.Step.NONE) {
                    carryOut(step, now);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (wire != null) {
                wire.close();
            }
            done.countDown();
        }
    }

    private void carryOut(RegistrationState.Step step, long now) {
        int endpoint = endpoints.pick(now);
        if (endpoint < 0 && step != RegistrationState.Step.DEREGISTER) {
            state.failed(now, endpoints.readyAt() - now);
            return;
        }
        endpoint = Math.max(0, endpoint);
        try {
            RegistryConnection w = connected(options.endpoints().get(endpoint));
            switch (step) {
                case REGISTER -> {
                    state.registered(now, register(w));
                    journal.count("registry_announced");
                    journal.log("registry-announced", "id", id, "address", address, "endpoint", w.endpoint());
                }
                case KEEP -> state.kept(now, keep(w));
                default -> {
                    deregister(w);
                    state.deregistered();
                    journal.log("registry-deregistered", "id", id, "endpoint", w.endpoint());
                }
            }
            endpoints.up(endpoint);
        } catch (Lost e) {
            endpoints.up(endpoint);
            journal.count("registry_announcement_lost");
            journal.log("registry-announcement-lost", "id", id);
            state.lost(now);
        } catch (IOException | RuntimeException e) {
            if (wire != null) {
                wire.close();
            }
            journal.count("registry_announce_failures");
            journal.log(
                    "registry-announce-failed",
                    "step",
                    step.toString(),
                    "endpoint",
                    options.endpoints().get(endpoint),
                    "why",
                    String.valueOf(e.getMessage()));
            endpoints.failed(
                    endpoint,
                    now,
                    e instanceof HttpStatusException ? Endpoints.Loss.ANSWER : Endpoints.Loss.LINK,
                    e instanceof HttpStatusException r ? r.retryAfterMicros() : 0);
            state.failed(now, Math.max(options.waits().base(), endpoints.readyAt() - now));
            if (step == RegistrationState.Step.DEREGISTER) {
                state.deregistered(); // Once: the lease ends what is left.
            }
        }
    }

    private RegistryConnection connected(String endpoint) throws IOException {
        RegistryConnection w = wire;
        if (w == null || w.isClosed() || !w.endpoint().equals(endpoint)) {
            if (w != null) {
                w.close();
            }
            w = new RegistryConnection(endpoint, tls, clock, new AtomicLong());
            wire = w;
            w.connect((int) Math.max(1, options.timeout() / 1000));
            w.setReadTimeout((int) Math.max(1, options.timeout() / 1000));
        }
        return w;
    }

    // ---- Calls ----------------------------------------------------------------------------------------
    private long register(RegistryConnection w) throws IOException {
        long ttl = options.announce().ttl();
        if (etcd == null) {
            call(w, "PUT", "/v1/agent/service/register", JsonObjects.toBytes(g -> {
                g.writeStringField("ID", id);
                g.writeStringField("Name", options.announce().service());
                g.writeStringField("Address", address.substring(0, address.lastIndexOf(':')));
                g.writeNumberField("Port", Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
                g.writeObjectFieldStart("Check");
                g.writeStringField("CheckID", "service:" + id);
                g.writeStringField("TTL", ttl / 1000 + "ms");
                g.writeStringField("Status", "passing");
                g.writeStringField("DeregisterCriticalServiceAfter", "1m");
                g.writeEndObject();
            }));
            return ttl;
        }
        long[] granted = new long[2];
        JsonObjects.read(
                w.body(etcd.call(
                        w,
                        "/v3/lease/grant",
                        JsonObjects.toBytes(
                                g -> g.writeStringField("TTL", Long.toString((ttl + 999_999) / 1_000_000))))),
                (p, name) -> {
                    switch (name) {
                        case "ID" -> granted[0] = Long.parseLong(p.getValueAsString());
                        case "TTL" -> granted[1] = Long.parseLong(p.getValueAsString());
                        default -> p.skipChildren();
                    }
                });
        lease = granted[0];
        w.discardBody((etcd.call(w, "/v3/kv/put", JsonObjects.toBytes(g -> {
            g.writeBinaryField(
                    "key", (options.announce().prefix() + id).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            g.writeBinaryField("value", JsonObjects.toBytes(v -> {
                v.writeStringField("id", id);
                v.writeStringField("host_port", address);
            }));
            g.writeStringField("lease", Long.toString(lease));
        }))));
        return granted[1] * 1_000_000;
    }

    /** @throws Lost if the registry no longer knows the entry */
    private long keep(RegistryConnection w) throws IOException {
        if (etcd == null) {
            call(w, "PUT", "/v1/agent/check/pass/service:" + ConsulProtocol.escaped(id), new byte[0]);
            return options.announce().ttl();
        }
        long[] ttl = new long[1];
        Http.Head h = etcd.call(
                w, "/v3/lease/keepalive", JsonObjects.toBytes(g -> g.writeStringField("ID", Long.toString(lease))));
        JsonObjects.read(w.body(h), (p, name) -> {
            if (name.equals("result")) {
                JsonObjects.forEachMember(p, (q, field) -> {
                    if (field.equals("TTL")) {
                        ttl[0] = Long.parseLong(q.getValueAsString());
                    } else {
                        q.skipChildren();
                    }
                });
            } else {
                p.skipChildren();
            }
        });
        if (ttl[0] <= 0) {
            // A lease that has ended is answered with a TTL of 0, which the gateway leaves out.
            throw new Lost();
        }
        return ttl[0] * 1_000_000;
    }

    private void deregister(RegistryConnection w) throws IOException {
        if (etcd == null) {
            call(w, "PUT", "/v1/agent/service/deregister/" + ConsulProtocol.escaped(id), new byte[0]);
            return;
        }
        try {
            w.discardBody((etcd.call(
                    w, "/v3/lease/revoke", JsonObjects.toBytes(g -> g.writeStringField("ID", Long.toString(lease))))));
        } catch (HttpStatusException e) {
            if (e.statusCode() != 404) {
                throw e;
            }
        }
    }

    /** A call to a Consul agent; one that it does not know the entry for is {@link Lost}. */
    private void call(RegistryConnection w, String method, String path, byte[] body) throws IOException {
        try {
            w.discardBody((w.send(method, path, body, 0, "X-Consul-Token", options.secret())));
        } catch (HttpStatusException e) {
            // 404 by today's documentation; agents before 1.12 said 500 and named the missing check.
            if (e.statusCode() == 404
                    || (e.statusCode() == 500 && e.getMessage().contains("TTL"))) {
                throw new Lost();
            }
            throw e;
        }
    }
}
