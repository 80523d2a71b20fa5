package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiehub.config.Config;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.http.Http;
import magpiehub.routing.EndpointState;

/**
 * Consul's HTTP interface (version 1), as its documentation of blocking queries, of {@code
 * /v1/health/service} and of {@code /v1/kv} describes it: {@code index} and {@code wait} with up to a
 * sixteenth of jitter, an index that must be above 0 and must not go back, {@code X-Consul-KnownLeader}, the
 * token in {@code X-Consul-Token}, {@code Retry-After} on 429. Reads are in the default consistency mode.
 * Each answer is the whole list, so nothing can be missed between two of them; what an answer costs is why
 * the caller leaves a time between them.
 *
 * <p>In the key-value form a value is one engine in discovery's form, and 404 is an empty list. In the health
 * form an engine is an instance of the service: its address, {@code Meta} ({@code locality}, {@code flavor},
 * {@code cell}, {@code size}, {@code phase}, {@code up_since_ms}) and its checks. A critical check, and so
 * maintenance, means that it gets nothing new; what it has may end. Not covered: tags, weights, near, stale
 * and cached reads, prepared queries, more than one data centre.
 */
final class ConsulProtocol implements RegistryProtocol {
    private final String target;
    private final String probe;
    private final boolean health;
    private final int prefixLength;
    private final long wait;
    private final String token;
    private final Entries entries;

    private ConsulProtocol(
            String target, String probe, boolean health, int prefixLength, long wait, String token, Entries entries) {
        this.target = target;
        this.probe = probe;
        this.health = health;
        this.prefixLength = prefixLength;
        this.wait = wait;
        this.token = token;
        this.entries = entries;
    }

    /** The instances of a service; {@code wait} is how long a blocking query may take (us). */
    static ConsulProtocol forHealth(String service, long wait, String token, Entries entries) {
        String t = "/v1/health/service/" + escaped(service);
        // A filter that nothing passes: the answer is an empty list under the index of the whole one.
        return new ConsulProtocol(
                t + "?", t + "?filter=" + escaped("Service.ID == \"\""), true, 0, wait, token, entries);
    }

    /** The values under a prefix. */
    static ConsulProtocol forKeyValues(String prefix, long wait, String token, Entries entries) {
        String t = "/v1/kv/" + escaped(prefix).replace("%2F", "/");
        // Keys up to the first separator: a few bytes under the index of all that is below.
        return new ConsulProtocol(
                t + "?recurse&", t + "?keys&separator=%2F", false, prefix.length(), wait, token, entries);
    }

    static String escaped(String s) {
        return URLEncoder.encode(s, StandardCharsets.UTF_8).replace("+", "%20");
    }

    @Override
    public boolean watchReturnsCompleteList() {
        return true;
    }

    @Override
    public long maxQuietMicros() {
        return wait + wait / 16;
    }

    @Override
    public void readList(RegistryConnection w, RegistryEventListener to) throws IOException, InterruptedException {
        String t = target.substring(0, target.length() - 1);
        whole(w, t, to);
    }

    @Override
    public void watch(RegistryConnection w, View.Position from, RegistryEventListener to)
            throws IOException, InterruptedException {
        // By the documentation an index below 1 is to be taken for none: such a query would never block.
        whole(
                w,
                from.number() < 1
                        ? target.substring(0, target.length() - 1)
                        : target + "index=" + from.number() + "&wait=" + wait / 1000 + "ms",
                to);
    }

    @Override
    public void checkPosition(RegistryConnection w, RegistryEventListener to) throws IOException, InterruptedException {
        Http.Head h = ask(w, probe);
        w.discardBody(h);
        View.Position at = position(h);
        to.onPositionChecked(at, at.number(), -1);
    }

    private Http.Head ask(RegistryConnection w, String what) throws IOException {
        Http.Head h = w.send("GET", what, null, health ? 0 : 404, "X-Consul-Token", token);
        if ("false".equalsIgnoreCase(h.get("X-Consul-KnownLeader"))) {
            // The server may have been cut off from the others: what it says may be long past.
            w.discardBody(h);
            throw new RegistryErrorException("no known leader");
        }
        return h;
    }

    private static View.Position position(Http.Head h) throws IOException {
        String index = h.get("X-Consul-Index");
        try {
            return new View.Position("", 0, Math.max(0, Long.parseUnsignedLong(index == null ? "" : index)));
        } catch (NumberFormatException e) {
            throw new RegistryErrorException("no X-Consul-Index");
        }
    }

    private void whole(RegistryConnection w, String what, RegistryEventListener to)
            throws IOException, InterruptedException {
        Http.Head h = ask(w, what);
        View.Position at = position(h);
        List<View.Item> items = new ArrayList<>();
        if (h.status() == 404) {
            w.discardBody(h);
        } else {
            try (JsonParser p = Config.JSON.createParser(w.body(h))) {
                if (p.nextToken() != JsonToken.START_ARRAY) {
                    throw new ConfigurationException("an array was due");
                }
                while (p.nextToken() == JsonToken.START_OBJECT) {
                    View.Item i = health ? instance(p) : value(p);
                    if (i != null) {
                        items.add(i);
                    }
                }
                if (p.currentToken() != JsonToken.END_ARRAY || p.nextToken() != null) {
                    throw new ConfigurationException("must be one array of objects");
                }
            }
        }
        to.onCompleteList(at, items);
    }

    // ---- Entries --------------------------------------------------------------------------------------
    private View.Item value(JsonParser p) throws IOException {
        String[] f = {"", "0", ""};
        JsonObjects.forEachMember(p, (q, name) -> {
            switch (name) {
                case "Key" -> f[0] = Entries.scalar(q);
                case "ModifyIndex" -> f[1] = Entries.scalar(q);
                case "Value" -> f[2] = q.currentToken() == JsonToken.VALUE_NULL ? null : Entries.scalar(q);
                default -> q.skipChildren();
            }
        });
        String key = f[0];
        if (key.endsWith("/") && f[2] == null) {
            return null; // What its user interface makes for a folder.
        }
        long mod = index(f[1]);
        try {
            byte[] json = Base64.getDecoder().decode(f[2] == null ? "" : f[2]);
            return View.Item.read(
                    key, mod, entries.read(json, key.length() > prefixLength ? key.substring(prefixLength) : null));
        } catch (IOException | RuntimeException e) {
            return View.Item.unreadable(key, mod, JsonObjects.describe(e));
        }
    }

    private static long index(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static void members(JsonParser p, JsonObjects.MemberReader to) throws IOException {
        if (p.currentToken() == JsonToken.START_OBJECT) {
            JsonObjects.forEachMember(p, to);
        } else {
            p.skipChildren();
        }
    }

    private View.Item instance(JsonParser p) throws IOException {
        Map<String, String> node = new HashMap<>();
        Map<String, String> service = new HashMap<>();
        Entries.Fields f = entries.new Fields();
        boolean[] critical = new boolean[1];
        members(p, (q, name) -> {
            switch (name) {
                case "Node" -> members(q, (r, field) -> node.put(field, Entries.scalar(r)));
                case "Service" -> members(q, (r, field) -> {
                    if (field.equals("Meta")) {
                        members(r, (m, key) -> f.set(key, m));
                    } else {
                        service.put(field, Entries.scalar(r));
                    }
                });
                case "Checks" -> {
                    boolean list = q.currentToken() == JsonToken.START_ARRAY;
                    while (list && q.nextToken() != JsonToken.END_ARRAY) {
                        members(q, (r, field) -> {
                            String v = Entries.scalar(r);
                            critical[0] |= field.equals("Status") && (v.equals("critical") || v.equals("maintenance"));
                        });
                    }
                }
                default -> q.skipChildren();
            }
        });
        String id = service.getOrDefault("ID", "");
        String key = node.getOrDefault("Node", "") + "/" + id;
        long mod = index(service.getOrDefault("ModifyIndex", "0"));
        String host = service.getOrDefault("Address", "");
        f.set(
                "host_port",
                (host.isEmpty() ? node.getOrDefault("Address", "") : host) + ":" + service.getOrDefault("Port", ""));
        try {
            EndpointEntry e = f.entry(id);
            if (critical[0] && e.server().state() == EndpointState.LIVE) {
                f.set("phase", "Terminating");
                e = f.entry(id);
            }
            return View.Item.read(key, mod, e);
        } catch (RuntimeException e) {
            return View.Item.unreadable(key, mod, JsonObjects.describe(e));
        }
    }
}
