package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.ConfigurationObject;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpWriter;

/**
 * Serves a {@link FakeRegistry}'s keys through etcd's JSON gateway, implemented from its public documentation:
 * authentication, ranges in pages, watches with fragments and compaction, and leases.
 */
final class FakeEtcdServer {
    private static final int CODE_INVALID_ARGUMENT = 3;
    private static final int CODE_NOT_FOUND = 5;

    private final FakeRegistry registry;

    /** The valid tokens; guarded by the registry's monitor, as are the other fields. */
    final Set<String> tokens = new HashSet<>();

    int logins;

    /** The keys attached to each lease. */
    final Map<Long, Set<String>> leases = new HashMap<>();

    /** The maximum number of events per watch response; larger ones are sent as fragments. */
    int eventsPerFragment = 50;

    /** Called before each page of a list except the first. */
    Runnable betweenPages = () -> {};

    /** The JSON of each event, cached for all watches. */
    private final Map<FakeRegistry.Change, String> eventTexts = new HashMap<>();

    FakeEtcdServer(FakeRegistry registry) {
        this.registry = registry;
    }

    void dropLeases() {
        synchronized (registry) {
            leases.clear();
        }
    }

    void respond(FakeRegistryEndpoint endpoint, HttpHead head, String path, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        ConfigurationObject request = ConfigurationObject.parse(body, "call");
        if (path.equals("/v3/auth/authenticate")) {
            authenticate(endpoint, request, out);
            return;
        }
        synchronized (registry) {
            if (!isAuthorized(endpoint, head)) {
                sendError(endpoint, out, 401, EtcdStatusException.UNAUTHENTICATED, "etcdserver: invalid auth token");
                return;
            }
        }
        switch (path) {
            case "/v3/kv/range" -> range(endpoint, request, out);
            case "/v3/watch" -> watch(endpoint, request.object("create_request"), out);
            default -> {
                synchronized (registry) {
                    respondToLeaseCall(endpoint, path, request, out);
                    registry.notifyAll();
                }
            }
        }
    }

    private void authenticate(FakeRegistryEndpoint endpoint, ConfigurationObject request, OutputStream out)
            throws IOException {
        if (!request.text("password", "").equals(registry.password)) {
            endpoint.send(
                    out,
                    400,
                    "",
                    "{\"error\":\"authentication failed, invalid user ID or password\",\"code\":"
                            + CODE_INVALID_ARGUMENT + "}");
            return;
        }
        String token;
        synchronized (registry) {
            token = "token." + ++logins;
            tokens.add(token);
        }
        endpoint.send(out, 200, "", "{\"header\":{},\"token\":\"" + token + "\"}");
    }

    private boolean isAuthorized(FakeRegistryEndpoint endpoint, HttpHead head) {
        return endpoint.fault != FakeRegistry.Fault.UNAUTHORIZED
                && (registry.password == null
                        || tokens.contains(String.valueOf(head.headers().get("Authorization"))));
    }

    private static void sendError(FakeRegistryEndpoint endpoint, OutputStream out, int status, int code, String message)
            throws IOException {
        endpoint.send(
                out,
                status,
                "",
                "{\"error\":\"" + message + "\",\"code\":" + code + ",\"message\":\"" + message + "\",\"details\":[]}");
    }

    private void writeHeader(FakeRegistryEndpoint endpoint, JsonGenerator generator) throws IOException {
        generator.writeObjectFieldStart("header");
        generator.writeStringField("cluster_id", registry.cluster);
        generator.writeStringField("member_id", "10276657743932975437");
        generator.writeStringField("revision", Long.toString(endpoint.visibleRevision()));
        generator.writeStringField("raft_term", Long.toString(registry.term));
        generator.writeEndObject();
    }

    private static String decode(ConfigurationObject request, String field) {
        return new String(Base64.getDecoder().decode(request.text(field, "")), UTF_8);
    }

    private static void writeKeyValue(JsonGenerator generator, String key, long revision, byte[] value)
            throws IOException {
        generator.writeBinaryField("key", key.getBytes(UTF_8));
        generator.writeStringField("mod_revision", Long.toString(revision));
        generator.writeStringField("create_revision", Long.toString(revision));
        generator.writeStringField("version", "1");
        if (value != null) {
            generator.writeBinaryField("value", value);
        }
    }

    private void range(FakeRegistryEndpoint endpoint, ConfigurationObject request, OutputStream out)
            throws IOException {
        long revision = Long.parseLong(request.text("revision", "0"));
        List<Map.Entry<String, FakeRegistry.Version>> entries;
        byte[] header;
        synchronized (registry) {
            if (revision > 0) {
                betweenPages.run();
            }
            String error = rangeError(endpoint, revision);
            if (error != null) {
                sendError(endpoint, out, 400, EtcdStatusException.OUT_OF_RANGE, error);
                return;
            }
            long at = revision > 0 ? revision : endpoint.visibleRevision();
            entries = new ArrayList<>(registry.snapshot(at, FakeRegistry.PREFIX).entrySet());
            header = JsonObjects.toBytes(generator -> writeHeader(endpoint, generator));
        }
        endpoint.send(out, 200, "", join(header, writePage(entries, request)));
    }

    private String rangeError(FakeRegistryEndpoint endpoint, long revision) {
        if (revision > endpoint.visibleRevision()) {
            return "etcdserver: mvcc: required revision is a future revision";
        }
        if (revision > 0 && revision < registry.compacted) {
            return "etcdserver: mvcc: required revision has been compacted";
        }
        return null;
    }

    private static byte[] writePage(List<Map.Entry<String, FakeRegistry.Version>> entries, ConfigurationObject request)
            throws IOException {
        String start = decode(request, "key");
        String end = decode(request, "range_end");
        entries.removeIf(e -> e.getKey().compareTo(start) < 0 || e.getKey().compareTo(end) >= 0);
        if (request.text("sort_target", "").equals("MOD")) {
            entries.sort(
                    (a, b) -> Long.compare(b.getValue().revision(), a.getValue().revision()));
        }
        int count = entries.size();
        int limit = (int) request.number("limit", 0);
        boolean hasMore = limit > 0 && limit < count;
        boolean keysOnly = request.flag("keys_only", false);
        return JsonObjects.toBytes(generator -> {
            generator.writeArrayFieldStart("kvs");
            for (Map.Entry<String, FakeRegistry.Version> entry : hasMore ? entries.subList(0, limit) : entries) {
                FakeRegistry.Version version = entry.getValue();
                generator.writeStartObject();
                writeKeyValue(generator, entry.getKey(), version.revision(), keysOnly ? null : version.value());
                generator.writeEndObject();
            }
            generator.writeEndArray();
            if (hasMore) {
                generator.writeBooleanField("more", true);
            }
            generator.writeStringField("count", Integer.toString(count));
        });
    }

    /** Merges two JSON objects into one with the members of both. */
    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length - 1);
        joined[first.length - 1] = ',';
        System.arraycopy(second, 1, joined, first.length, second.length - 1);
        return joined;
    }

    private void watch(FakeRegistryEndpoint endpoint, ConfigurationObject request, OutputStream out)
            throws IOException, InterruptedException {
        long next = Long.parseLong(request.text("start_revision", "0"));
        String prefix = decode(request, "key");
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
        String clusterAtStart = registry.cluster;
        synchronized (registry) {
            sendCreated(endpoint, out);
        }
        while (true) {
            List<FakeRegistry.Change> changes;
            long compactedAt;
            synchronized (registry) {
                while (next > registry.compacted && !hasEvents(endpoint, next, prefix)) {
                    registry.wait();
                    if (!registry.cluster.equals(clusterAtStart)) {
                        return;
                    }
                }
                compactedAt = next <= registry.compacted ? registry.compacted : 0;
                changes = registry.changes(next, endpoint.visibleRevision(), prefix);
                next = endpoint.visibleRevision() + 1;
            }
            if (compactedAt > 0) {
                sendCompacted(endpoint, out, compactedAt);
                return;
            }
            sendEvents(endpoint, out, changes);
        }
    }

    /** Returns whether a watch has events to send. The caller holds the registry's monitor. */
    private boolean hasEvents(FakeRegistryEndpoint endpoint, long fromRevision, String prefix) {
        return endpoint.fault != FakeRegistry.Fault.SILENT_WATCHES
                && endpoint.fault != FakeRegistry.Fault.SILENT
                && !registry.changes(fromRevision, endpoint.visibleRevision(), prefix)
                        .isEmpty();
    }

    private void sendCreated(FakeRegistryEndpoint endpoint, OutputStream out) throws IOException {
        sendResult(endpoint, out, generator -> {
            generator.writeStringField("watch_id", "0");
            generator.writeBooleanField("created", true);
        });
    }

    private void sendCompacted(FakeRegistryEndpoint endpoint, OutputStream out, long revision) throws IOException {
        sendResult(endpoint, out, generator -> {
            generator.writeBooleanField("canceled", true);
            generator.writeStringField("compact_revision", Long.toString(revision));
        });
    }

    private void sendEvents(FakeRegistryEndpoint endpoint, OutputStream out, List<FakeRegistry.Change> changes)
            throws IOException {
        for (int i = 0; i < changes.size(); i += eventsPerFragment) {
            int end = Math.min(changes.size(), i + eventsPerFragment);
            List<FakeRegistry.Change> part = changes.subList(i, end);
            boolean hasMore = end < changes.size();
            sendResult(endpoint, out, generator -> {
                if (hasMore) {
                    generator.writeBooleanField("fragment", true);
                }
                generator.writeArrayFieldStart("events");
                for (FakeRegistry.Change change : part) {
                    generator.writeRawValue(eventText(change));
                }
                generator.writeEndArray();
            });
        }
    }

    /** Sends one line of a watch. Characters beyond ASCII are not escaped, so that a truncation may split one. */
    private void sendResult(FakeRegistryEndpoint endpoint, OutputStream out, JsonObjects.MemberWriter result)
            throws IOException {
        byte[] line = JsonObjects.toBytes(generator -> {
            generator.writeObjectFieldStart("result");
            writeHeader(endpoint, generator);
            result.write(generator);
            generator.writeStringField("note", "台南".repeat(10));
            generator.writeEndObject();
        });
        HttpWriter chunk = new HttpWriter();
        chunk.appendChunk((new String(line, UTF_8) + "\n").getBytes(UTF_8));
        endpoint.write(out, chunk.take());
    }

    private String eventText(FakeRegistry.Change change) throws IOException {
        synchronized (eventTexts) {
            String text = eventTexts.get(change);
            if (text == null) {
                text = new String(writeEvent(change), UTF_8);
                eventTexts.put(change, text);
            }
            return text;
        }
    }

    private static byte[] writeEvent(FakeRegistry.Change change) throws IOException {
        return JsonObjects.toBytes(generator -> {
            if (change.value() == null) {
                generator.writeStringField("type", "DELETE");
            }
            generator.writeObjectFieldStart("kv");
            writeKeyValue(generator, change.key(), change.revision(), change.value());
            generator.writeEndObject();
        });
    }

    /** Responds to the calls of a registration. The caller holds the registry's monitor. */
    private void respondToLeaseCall(
            FakeRegistryEndpoint endpoint, String path, ConfigurationObject request, OutputStream out)
            throws IOException {
        long id = Long.parseLong(request.text("ID", request.text("lease", "0")));
        Set<String> keys = leases.get(id);
        switch (path) {
            case "/v3/lease/grant" -> {
                long granted = ++registry.revision * 7;
                leases.put(granted, new HashSet<>());
                endpoint.send(out, 200, "", "{\"ID\":\"" + granted + "\",\"TTL\":\"" + request.text("TTL", "") + "\"}");
            }
            case "/v3/kv/put" -> {
                if (keys == null) {
                    sendError(endpoint, out, 404, CODE_NOT_FOUND, "etcdserver: requested lease not found");
                    return;
                }
                keys.add(decode(request, "key"));
                endpoint.send(out, 200, "", "{}");
            }
            case "/v3/lease/keepalive" -> {
                String ttl = keys == null ? "" : ",\"TTL\":\"10\"";
                endpoint.send(out, 200, "", "{\"result\":{\"ID\":\"" + id + "\"" + ttl + "}}\n");
            }
            default -> {
                leases.remove(id);
                endpoint.send(out, 200, "", "{}");
            }
        }
    }
}
