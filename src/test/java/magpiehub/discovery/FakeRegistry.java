package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import magpiehub.concurrent.Mailbox;
import magpiehub.config.Config;
import magpiehub.config.ConfigurationObject;
import magpiehub.http.Http;
import magpiehub.http.Sockets;

/**
 * A registry that speaks etcd's JSON gateway and Consul's HTTP interface over one set of keys, written from
 * their public descriptions, with several endpoints that fail as told. It owns the truth: every version of
 * every key. It must never fail by itself, or hold anything back that it was not told to hold back.
 */
final class FakeRegistry implements AutoCloseable {
    static final String PREFIX = "fleet/engines/";
    /** How each further write of an endpoint ends. */
    enum Fault {
        NONE,
        DOWN,
        SILENT,
        MUTE,
        DRIPS,
        UNAUTHORISED,
        REFUSING,
        NO_LEADER
    }

    record Version(long rev, byte[] value) {}

    /** {@code json}: written once for all who watch. */
    record Event(long rev, String key, byte[] value, String[] json) {}

    /** One history: since the last restore. */
    private final Map<String, List<Version>> keys = new TreeMap<>();

    private List<Event> log = new ArrayList<>();
    String cluster = "14841639068965178418";
    long term = 2;
    long rev = 1;
    long compacted;
    /** Answers of at most so many events are whole; larger ones come in fragments. */
    int fragment = 50;

    String password;
    final Set<String> tokens = new HashSet<>();
    int logins;
    final Map<Long, Set<String>> leases = new HashMap<>();
    final Set<String> services = new HashSet<>();
    final List<Endpoint> endpoints = new ArrayList<>();
    final Map<String, Integer> asked = new ConcurrentHashMap<>();
    /** Called under the lock before each page but the first of a list. */
    Runnable betweenPages = () -> {};

    private final Map<byte[], byte[]> instances = new java.util.IdentityHashMap<>();
    /** The last few states asked for: hundreds of clients ask for the same one. */
    private final Map<String, Map<String, Version>> snapshots = new java.util.LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Version>> e) {
            return size() > 4;
        }
    };

    private final Object[] healthBodies = new Object[2];
    private final Object[] valueBodies = new Object[2];

    FakeRegistry(int n) throws IOException {
        for (int i = 0; i < n; i++) {
            endpoints.add(new Endpoint());
        }
    }

    List<String> addresses() {
        return endpoints.stream().map(Endpoint::address).toList();
    }

    // ---- The truth ------------------------------------------------------------------------------------
    synchronized long put(String id, String json) {
        write(++rev, PREFIX + id, json.getBytes(StandardCharsets.UTF_8));
        notifyAll();
        return rev;
    }

    synchronized void delete(String id) {
        write(++rev, PREFIX + id, null);
        notifyAll();
    }

    /** Several keys in one revision; a null value removes. */
    synchronized void together(Map<String, String> changes) {
        rev++;
        changes.forEach(
                (id, json) -> write(rev, PREFIX + id, json == null ? null : json.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void write(long at, String key, byte[] value) {
        snapshots.remove(at + " " + PREFIX); // Of several changes in one revision.
        keys.computeIfAbsent(key, k -> new ArrayList<>()).add(new Version(at, value));
        log.add(new Event(at, key, value, new String[1]));
    }

    synchronized void compact() {
        compacted = rev;
    }

    synchronized void lead() {
        term++;
        cutAll();
    }

    /** The registry comes back with what it held at a revision; further writes go on from there. */
    synchronized void restore(long to, String newCluster, long newRev) {
        snapshots.clear();
        keys.values().forEach(l -> l.removeIf(v -> v.rev > to));
        keys.values().removeIf(List::isEmpty);
        log.removeIf(e -> e.rev > to);
        rev = newRev;
        compacted = newRev > to ? newRev : Math.min(compacted, to);
        cluster = newCluster;
        notifyAll();
        cutAll();
    }

    void cutAll() {
        endpoints.forEach(Endpoint::cut);
    }

    /** Values as of a revision, by key. */
    synchronized Map<String, Version> at(long revision, String prefix) {
        long upTo = Math.min(revision, rev);
        return snapshots.computeIfAbsent(upTo + " " + prefix, k -> snapshot(upTo, prefix));
    }

    private Map<String, Version> snapshot(long revision, String prefix) {
        Map<String, Version> m = new TreeMap<>();
        keys.forEach((k, l) -> {
            for (int i = l.size() - 1; i >= 0 && k.startsWith(prefix); i--) {
                if (l.get(i).rev <= revision) {
                    if (l.get(i).value != null) {
                        m.put(k, l.get(i));
                    }
                    return;
                }
            }
        });
        return m;
    }

    private List<Event> after(long from, long to, String prefix) {
        int i = log.size();
        while (i > 0 && log.get(i - 1).rev >= from) {
            i--;
        }
        return log.subList(i, log.size()).stream()
                .filter(e -> e.rev <= to && e.key.startsWith(prefix))
                .toList();
    }

    synchronized void loseLeases() {
        leases.clear();
    }

    int asked(String path) {
        return asked.getOrDefault(path, 0);
    }

    @Override
    public void close() {
        endpoints.forEach(e -> {
            e.fault(Fault.DOWN);
            try {
                e.server.close();
            } catch (IOException x) {
                // Closed is closed.
            }
        });
    }

    // ---- Endpoints ------------------------------------------------------------------------------------
    final class Endpoint {
        private final int port;
        private final ServerSocket server;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile Fault fault = Fault.NONE;
        /** Revisions that this endpoint is behind. */
        volatile long lag;
        /** Bytes after which the next answer to a watch is cut off; -1 for none. */
        volatile int cutAfter = -1;

        volatile long delayMs;

        Endpoint() throws IOException {
            server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            Mailbox.thread("stand-in", () -> accept(server)).start();
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        /** From now on it fails so; connections are cut, unless they are only to say nothing more. One that
         *  is down resets whoever connects, and keeps its port. */
        void fault(Fault f) {
            fault = f;
            if (f != Fault.SILENT && f != Fault.MUTE) {
                cut();
            }
            synchronized (FakeRegistry.this) {
                FakeRegistry.this.notifyAll();
            }
        }

        void cut() {
            open.forEach(Sockets::closeQuietly);
        }

        private void accept(ServerSocket s) {
            while (!s.isClosed()) {
                try {
                    Socket c = s.accept();
                    open.add(c);
                    if (fault == Fault.DOWN) {
                        c.setSoLinger(true, 0);
                        c.close();
                        open.remove(c);
                        continue;
                    }
                    Mailbox.thread("stand-in-peer", () -> serve(c)).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                Http.Input in = new Http.Input(s.getInputStream(), () -> 0);
                while (in.await()) {
                    Http.Head h = in.head(true);
                    byte[] body = in.body(h);
                    String[] target = h.start[1].split("\\?", 2);
                    asked.merge(target[0], 1, Integer::sum);
                    if (delayMs > 0) {
                        Thread.sleep(delayMs);
                    }
                    mayAnswer();
                    answer(h, target[0], target.length > 1 ? target[1] : "", body, s.getOutputStream());
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                // The peer's end, or this endpoint's.
            } finally {
                open.remove(s);
            }
        }

        private void mayAnswer() throws InterruptedException {
            synchronized (FakeRegistry.this) {
                while (fault == Fault.SILENT) {
                    FakeRegistry.this.wait();
                }
            }
        }

        private long visible() {
            return Math.max(1, rev - lag);
        }

        private void send(OutputStream out, int status, String headers, byte[] body) throws IOException {
            Http.Output o = new Http.Output();
            o.text("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
            o.bytes(body);
            cutTo(out, o.take());
        }

        /** Writes all, or as much as the script lets through. */
        private void cutTo(OutputStream out, byte[] all) throws IOException {
            for (int i = 0; fault == Fault.DRIPS; i = Math.min(i + 1, all.length - 1)) {
                out.write(all, i, 1);
                out.flush();
                java.util.concurrent.locks.LockSupport.parkNanos(50_000_000);
            }
            int most = cutAfter;
            if (most >= 0 && most < all.length) {
                cutAfter = -1;
                out.write(all, 0, most);
                throw new IOException("cut");
            }
            out.write(all);
        }

        private void answer(Http.Head h, String path, String query, byte[] body, OutputStream out)
                throws IOException, InterruptedException {
            if (fault == Fault.REFUSING) {
                send(out, 429, "Retry-After: 0.2\r\n", "{}".getBytes(UTF_8));
            } else if (path.startsWith("/v3/")) {
                etcd(h, path, Config.facts(body, "call"), out);
            } else if (path.startsWith("/v1/agent")) {
                agent(path, body, out);
            } else {
                consul(h, path, query, out);
            }
        }

        // ---- etcd ---------------------------------------------------------------------------------
        private void etcd(Http.Head h, String path, ConfigurationObject f, OutputStream out)
                throws IOException, InterruptedException {
            if (path.equals("/v3/auth/authenticate")) {
                boolean right = f.text("password", "").equals(password);
                synchronized (FakeRegistry.this) {
                    if (right) {
                        tokens.add("token." + ++logins);
                    }
                }
                send(
                        out,
                        right ? 200 : 400,
                        "",
                        (right
                                        ? "{\"header\":{},\"token\":\"token." + logins + "\"}"
                                        : "{\"error\":\"authentication failed, "
                                                + "invalid user ID or password\",\"code\":3}")
                                .getBytes(UTF_8));
                return;
            }
            synchronized (FakeRegistry.this) {
                if (fault == Fault.UNAUTHORISED
                        || (password != null && !tokens.contains(String.valueOf(h.get("Authorization"))))) {
                    error(out, 401, 16, "etcdserver: invalid auth token");
                    return;
                }
            }
            switch (path) {
                case "/v3/kv/range" -> range(f, out);
                case "/v3/watch" -> watch(f.object("create_request"), out);
                default -> lease(path, f, out);
            }
        }

        private void error(OutputStream out, int status, int code, String message) throws IOException {
            send(
                    out,
                    status,
                    "",
                    ("{\"error\":\"" + message + "\",\"code\":" + code + ",\"message\":\"" + message
                                    + "\",\"details\":[]}")
                            .getBytes(UTF_8));
        }

        private void header(JsonGenerator g) throws IOException {
            g.writeObjectFieldStart("header");
            g.writeStringField("cluster_id", cluster);
            g.writeStringField("member_id", "10276657743932975437");
            g.writeStringField("revision", Long.toString(visible()));
            g.writeStringField("raft_term", Long.toString(term));
            g.writeEndObject();
        }

        private static String text(ConfigurationObject f, String key) {
            return new String(Base64.getDecoder().decode(f.text(key, "")), StandardCharsets.UTF_8);
        }

        private void keyValue(JsonGenerator g, String key, long mod, byte[] value) throws IOException {
            g.writeBinaryField("key", key.getBytes(StandardCharsets.UTF_8));
            g.writeStringField("mod_revision", Long.toString(mod));
            g.writeStringField("create_revision", Long.toString(mod));
            g.writeStringField("version", "1");
            if (value != null) {
                g.writeBinaryField("value", value);
            }
        }

        private void range(ConfigurationObject f, OutputStream out) throws IOException {
            String from = text(f, "key");
            String end = text(f, "range_end");
            boolean newest = f.text("sort_target", "").equals("MOD");
            long wanted = Long.parseLong(f.text("revision", "0"));
            List<Map.Entry<String, Version>> all;
            byte[] head;
            synchronized (FakeRegistry.this) {
                if (wanted > 0) {
                    betweenPages.run();
                }
                if (wanted > visible()) {
                    error(out, 400, 11, "etcdserver: mvcc: required revision is a future revision");
                    return;
                }
                if (wanted > 0 && wanted < compacted) {
                    error(out, 400, 11, "etcdserver: mvcc: required revision has been compacted");
                    return;
                }
                all = new ArrayList<>(
                        at(wanted > 0 ? wanted : visible(), PREFIX).entrySet());
                head = JsonObjects.toBytes(this::header);
            }
            all.removeIf(e -> e.getKey().compareTo(from) < 0 || e.getKey().compareTo(end) >= 0);
            int count = all.size();
            if (newest) {
                all.sort((a, b) -> Long.compare(b.getValue().rev, a.getValue().rev));
            }
            int limit = (int) f.number("limit", 0);
            List<Map.Entry<String, Version>> some = limit > 0 && limit < all.size() ? all.subList(0, limit) : all;
            byte[] rest = JsonObjects.toBytes(g -> {
                g.writeArrayFieldStart("kvs");
                for (Map.Entry<String, Version> e : some) {
                    g.writeStartObject();
                    keyValue(g, e.getKey(), e.getValue().rev, f.flag("keys_only", false) ? null : e.getValue().value);
                    g.writeEndObject();
                }
                g.writeEndArray();
                if (some.size() < count) {
                    g.writeBooleanField("more", true);
                }
                g.writeStringField("count", Integer.toString(count));
            });
            // {head} and {rest} as one object.
            byte[] body = Arrays.copyOf(head, head.length + rest.length - 1);
            body[head.length - 1] = ',';
            System.arraycopy(rest, 1, body, head.length, rest.length - 1);
            send(out, 200, "", body);
        }

        /** A line of the watch, its letters beyond ASCII as they are. */
        private void line(OutputStream out, JsonObjects.MemberWriter result) throws IOException {
            byte[] b = JsonObjects.toBytes(g -> {
                g.writeObjectFieldStart("result");
                result.write(g);
                g.writeStringField("note", "台南".repeat(10)); // Cuts fall inside letters, too.
                g.writeEndObject();
            });
            Http.Output o = new Http.Output();
            o.chunk((new String(b, StandardCharsets.UTF_8) + "\n").getBytes(StandardCharsets.UTF_8));
            cutTo(out, o.take());
        }

        private void watch(ConfigurationObject f, OutputStream out) throws IOException, InterruptedException {
            long next = Long.parseLong(f.text("start_revision", "0"));
            String prefix = text(f, "key");
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
            String created = cluster;
            synchronized (FakeRegistry.this) {
                line(out, g -> {
                    header(g);
                    g.writeStringField("watch_id", "0");
                    g.writeBooleanField("created", true);
                });
            }
            while (true) {
                List<Event> events;
                long compactedAt = 0;
                synchronized (FakeRegistry.this) {
                    while (next > compacted
                            && (fault == Fault.MUTE
                                    || fault == Fault.SILENT
                                    || after(next, visible(), prefix).isEmpty())) {
                        FakeRegistry.this.wait();
                        if (!cluster.equals(created)) {
                            return;
                        }
                    }
                    compactedAt = next <= compacted ? compacted : 0;
                    events = List.copyOf(after(next, visible(), prefix));
                    next = visible() + 1;
                }
                if (compactedAt > 0) {
                    long at = compactedAt;
                    line(out, g -> {
                        header(g);
                        g.writeBooleanField("canceled", true);
                        g.writeStringField("compact_revision", Long.toString(at));
                    });
                    return;
                }
                for (int i = 0; i < events.size(); i += fragment) {
                    List<Event> some = events.subList(i, Math.min(events.size(), i + fragment));
                    boolean more = i + fragment < events.size();
                    line(out, g -> {
                        header(g);
                        if (more) {
                            g.writeBooleanField("fragment", true);
                        }
                        g.writeArrayFieldStart("events");
                        for (Event e : some) {
                            g.writeRawValue(json(e));
                        }
                        g.writeEndArray();
                    });
                }
            }
        }

        private String json(Event e) throws IOException {
            if (e.json[0] == null) {
                e.json[0] = new String(
                        JsonObjects.toBytes(g -> {
                            if (e.value == null) {
                                g.writeStringField("type", "DELETE");
                            }
                            g.writeObjectFieldStart("kv");
                            keyValue(g, e.key, e.rev, e.value);
                            g.writeEndObject();
                        }),
                        StandardCharsets.UTF_8);
            }
            return e.json[0];
        }

        private void lease(String path, ConfigurationObject f, OutputStream out) throws IOException {
            synchronized (FakeRegistry.this) {
                long id = Long.parseLong(f.text("ID", f.text("lease", "0")));
                Set<String> held = leases.get(id);
                switch (path) {
                    case "/v3/lease/grant" -> {
                        leases.put(++rev * 7, new HashSet<>());
                        send(
                                out,
                                200,
                                "",
                                ("{\"ID\":\"" + rev * 7 + "\",\"TTL\":\"" + f.text("TTL", "") + "\"}").getBytes(UTF_8));
                    }
                    case "/v3/kv/put" -> {
                        if (held == null) {
                            error(out, 404, 5, "etcdserver: requested lease not found");
                            return;
                        }
                        held.add(text(f, "key"));
                        send(out, 200, "", "{}".getBytes(UTF_8));
                    }
                    case "/v3/lease/keepalive" -> send(
                            out,
                            200,
                            "",
                            ("{\"result\":{\"ID\":\"" + id + "\"" + (held == null ? "" : ",\"TTL\":\"10\"") + "}}\n")
                                    .getBytes(UTF_8));
                    default -> {
                        leases.remove(id);
                        send(out, 200, "", "{}".getBytes(UTF_8));
                    }
                }
                FakeRegistry.this.notifyAll();
            }
        }

        // ---- Consul -------------------------------------------------------------------------------
        private void agent(String path, byte[] body, OutputStream out) throws IOException {
            String id = path.substring(path.lastIndexOf('/') + 1).replaceFirst("^service:", "");
            boolean known;
            synchronized (FakeRegistry.this) {
                if (path.endsWith("/register")) {
                    services.add(Config.facts(body, "service").text("ID", ""));
                    known = true;
                } else if (path.contains("/deregister/")) {
                    known = services.remove(id);
                } else {
                    known = services.contains(id);
                }
            }
            send(out, known ? 200 : 404, "", known ? new byte[0] : "Unknown check".getBytes(UTF_8));
        }

        private void consul(Http.Head h, String path, String query, OutputStream out)
                throws IOException, InterruptedException {
            if (fault == Fault.UNAUTHORISED || (password != null && !password.equals(h.get("X-Consul-Token")))) {
                send(out, 403, "", "Permission denied".getBytes(UTF_8));
                return;
            }
            if (fault == Fault.NO_LEADER) {
                send(out, 200, "X-Consul-Index: " + rev + "\r\nX-Consul-KnownLeader: false\r\n", "[]".getBytes(UTF_8));
                return;
            }
            Map<String, String> q = new HashMap<>();
            Arrays.stream(query.split("&"))
                    .map(p -> p.split("=", 2))
                    .forEach(p -> q.put(p[0], p.length > 1 ? p[1] : ""));
            long index = Long.parseLong(q.getOrDefault("index", "0"));
            long until = System.nanoTime()
                    + Long.parseLong(q.getOrDefault("wait", "60000ms").replace("ms", "")) * 1_000_000;
            byte[] body = "[]".getBytes(UTF_8);
            Map<String, Version> all = null;
            long at;
            boolean health = path.startsWith("/v1/health");
            synchronized (FakeRegistry.this) {
                long left = (until - System.nanoTime()) / 1_000_000;
                while ((index > 0 && index == visible() && left > 0) || (index > 0 && fault == Fault.MUTE)) {
                    FakeRegistry.this.wait(Math.max(1, left));
                    left = (until - System.nanoTime()) / 1_000_000;
                }
                at = visible();
                if (!q.containsKey("filter") && !q.containsKey("keys")) {
                    all = at(at, PREFIX);
                }
            }
            if (all != null) {
                body = body(all, health);
            }
            send(
                    out,
                    body.length == 2 && !health ? 404 : 200,
                    "X-Consul-Index: " + at + "\r\nX-Consul-KnownLeader: true\r\n",
                    body);
        }

        /** One state's list is written once for all who ask. */
        private byte[] body(Map<String, Version> all, boolean health) throws IOException {
            Object[] bodies = health ? healthBodies : valueBodies;
            synchronized (bodies) {
                if (bodies[0] != all) {
                    bodies[1] = list(all, health);
                    bodies[0] = all;
                }
                return (byte[]) bodies[1];
            }
        }

        private byte[] list(Map<String, Version> all, boolean health) throws IOException {
            java.io.ByteArrayOutputStream b = new java.io.ByteArrayOutputStream();
            b.write('[');
            for (Map.Entry<String, Version> e : all.entrySet()) {
                if (b.size() > 1) {
                    b.write(',');
                }
                byte[] value = e.getValue().value;
                if (health) {
                    byte[] i = instances.get(value);
                    if (i == null) {
                        i = instance(e.getKey().substring(PREFIX.length()), e.getValue());
                        instances.put(value, i);
                    }
                    b.write(i);
                } else {
                    b.write(JsonObjects.toBytes(g -> {
                        g.writeStringField("Key", e.getKey());
                        g.writeNumberField("ModifyIndex", e.getValue().rev);
                        g.writeBinaryField("Value", value);
                    }));
                }
            }
            b.write(']');
            return b.toByteArray();
        }

        private byte[] instance(String id, Version v) throws IOException {
            ConfigurationObject f;
            try {
                f = Config.facts(v.value, "value");
            } catch (IOException | RuntimeException e) {
                f = Config.facts("{\"host_port\":\"nowhere:x\"}".getBytes(UTF_8), "value");
            }
            ConfigurationObject e = f;
            String[] address = (e.text("host_port", "") + ":x").split(":");
            String phase = e.text("phase", "Ready");
            return JsonObjects.toBytes(g -> {
                g.writeObjectFieldStart("Node");
                g.writeStringField("Node", "節點".repeat(5) + "-1");
                g.writeStringField("Address", "127.0.0.1");
                g.writeEndObject();
                g.writeObjectFieldStart("Service");
                g.writeStringField("ID", id);
                g.writeStringField("Address", address[0]);
                g.writeFieldName("Port");
                g.writeRawValue(address[1].equals("x") ? "\"x\"" : address[1]);
                g.writeNumberField("ModifyIndex", v.rev);
                g.writeObjectFieldStart("Meta");
                g.writeStringField("id", e.text("id", id));
                g.writeStringField("cell", Integer.toString((int) e.number("cell", 0)));
                g.writeEndObject();
                g.writeEndObject();
                g.writeArrayFieldStart("Checks");
                g.writeStartObject();
                g.writeStringField("CheckID", "service:" + id);
                g.writeStringField("Status", phase.equals("Ready") ? "passing" : "critical");
                g.writeEndObject();
                g.writeEndArray();
            });
        }
    }
}
