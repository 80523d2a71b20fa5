package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import magpiehub.config.ConfigurationObject;
import magpiehub.http.HttpHead;

/**
 * Serves a {@link FakeRegistry}'s keys through Consul's HTTP API, implemented from its public documentation: blocking
 * queries of the health and key-value APIs, and the agent's registration of services.
 */
final class FakeConsulServer {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FakeRegistry registry;

    /** The ids of registered instances; guarded by the registry's monitor. */
    final Set<String> services = new HashSet<>();

    private final ListCache healthLists = new ListCache();
    private final ListCache keyValueLists = new ListCache();

    /** The JSON of each instance, cached; guarded by {@code healthLists}. */
    private final Map<FakeRegistry.Version, byte[]> instances = new HashMap<>();

    FakeConsulServer(FakeRegistry registry) {
        this.registry = registry;
    }

    /** The response body of the last snapshot, cached for all clients. */
    private static final class ListCache {
        Map<String, FakeRegistry.Version> snapshot;
        byte[] body;
    }

    void respond(FakeRegistryEndpoint endpoint, HttpHead head, String path, String query, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        if (path.startsWith("/v1/agent")) {
            respondToAgentCall(endpoint, path, body, out);
        } else if (isUnauthorized(endpoint, head)) {
            endpoint.send(out, 403, "", "Permission denied");
        } else if (endpoint.fault == FakeRegistry.Fault.NO_LEADER) {
            String headers = "X-Consul-Index: " + registry.revision + "\r\nX-Consul-KnownLeader: false\r\n";
            endpoint.send(out, 200, headers, "[]");
        } else {
            respondToQuery(endpoint, path.startsWith("/v1/health"), parameters(query), out);
        }
    }

    private boolean isUnauthorized(FakeRegistryEndpoint endpoint, HttpHead head) {
        return endpoint.fault == FakeRegistry.Fault.UNAUTHORIZED
                || (registry.password != null
                        && !registry.password.equals(head.headers().get("X-Consul-Token")));
    }

    private static Map<String, String> parameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String parameter : query.split("&", -1)) {
            int equals = parameter.indexOf('=');
            if (equals < 0) {
                parameters.put(parameter, "");
            } else {
                parameters.put(parameter.substring(0, equals), parameter.substring(equals + 1));
            }
        }
        return parameters;
    }

    private void respondToAgentCall(FakeRegistryEndpoint endpoint, String path, byte[] body, OutputStream out)
            throws IOException {
        String id = path.substring(path.lastIndexOf('/') + 1).replaceFirst("^service:", "");
        boolean known;
        synchronized (registry) {
            if (path.endsWith("/register")) {
                services.add(ConfigurationObject.parse(body, "service").text("ID", ""));
                known = true;
            } else if (path.contains("/deregister/")) {
                known = services.remove(id);
            } else {
                known = services.contains(id);
            }
        }
        endpoint.send(out, known ? 200 : 404, "", known ? "" : "Unknown check");
    }

    /** Responds to a query, after a wait if it is a blocking one. */
    private void respondToQuery(
            FakeRegistryEndpoint endpoint, boolean isHealth, Map<String, String> parameters, OutputStream out)
            throws IOException, InterruptedException {
        Map<String, FakeRegistry.Version> snapshot = null;
        long index;
        synchronized (registry) {
            awaitChange(endpoint, parameters);
            index = endpoint.visibleRevision();
            if (!parameters.containsKey("filter") && !parameters.containsKey("keys")) {
                snapshot = registry.snapshot(index, FakeRegistry.PREFIX);
            }
        }
        byte[] body = snapshot == null ? "[]".getBytes(UTF_8) : list(snapshot, isHealth);
        boolean isEmpty = body.length == 2;
        endpoint.send(
                out,
                isEmpty && !isHealth ? 404 : 200,
                "X-Consul-Index: " + index + "\r\nX-Consul-KnownLeader: true\r\n",
                body);
    }

    private void awaitChange(FakeRegistryEndpoint endpoint, Map<String, String> parameters)
            throws InterruptedException {
        long index = Long.parseLong(parameters.getOrDefault("index", "0"));
        long waitMillis =
                Long.parseLong(parameters.getOrDefault("wait", "60000ms").replace("ms", ""));
        long end = System.nanoTime() + waitMillis * NANOS_PER_MILLI;
        long leftMillis = (end - System.nanoTime()) / NANOS_PER_MILLI;
        while (index > 0
                && ((index == endpoint.visibleRevision() && leftMillis > 0)
                        || endpoint.fault == FakeRegistry.Fault.SILENT_WATCHES)) {
            registry.wait(Math.max(1, leftMillis));
            leftMillis = (end - System.nanoTime()) / NANOS_PER_MILLI;
        }
    }

    private byte[] list(Map<String, FakeRegistry.Version> snapshot, boolean isHealth) throws IOException {
        ListCache cache = isHealth ? healthLists : keyValueLists;
        synchronized (cache) {
            if (cache.snapshot != snapshot) {
                cache.body = writeList(snapshot, isHealth);
                cache.snapshot = snapshot;
            }
            return cache.body;
        }
    }

    private byte[] writeList(Map<String, FakeRegistry.Version> snapshot, boolean isHealth) throws IOException {
        ByteArrayOutputStream list = new ByteArrayOutputStream();
        list.write('[');
        for (Map.Entry<String, FakeRegistry.Version> entry : snapshot.entrySet()) {
            if (list.size() > 1) {
                list.write(',');
            }
            list.write(
                    isHealth
                            ? instance(entry.getKey(), entry.getValue())
                            : writeKeyValue(entry.getKey(), entry.getValue()));
        }
        list.write(']');
        return list.toByteArray();
    }

    private static byte[] writeKeyValue(String key, FakeRegistry.Version version) throws IOException {
        return JsonObjects.toBytes(generator -> {
            generator.writeStringField("Key", key);
            generator.writeNumberField("ModifyIndex", version.revision());
            generator.writeBinaryField("Value", version.value());
        });
    }

    private byte[] instance(String key, FakeRegistry.Version version) throws IOException {
        byte[] instance = instances.get(version);
        if (instance == null) {
            instance = writeInstance(key.substring(FakeRegistry.PREFIX.length()), version);
            instances.put(version, instance);
        }
        return instance;
    }

    private static byte[] writeInstance(String id, FakeRegistry.Version version) throws IOException {
        ConfigurationObject value = parseValue(version.value());
        String[] address = (value.text("host_port", "") + ":x").split(":", -1);
        String phase = value.text("phase", "Ready");
        return JsonObjects.toBytes(generator -> {
            generator.writeObjectFieldStart("Node");
            generator.writeStringField("Node", "節點".repeat(5) + "-1");
            generator.writeStringField("Address", "127.0.0.1");
            generator.writeEndObject();
            generator.writeObjectFieldStart("Service");
            generator.writeStringField("ID", id);
            generator.writeStringField("Address", address[0]);
            generator.writeFieldName("Port");
            generator.writeRawValue(address[1].equals("x") ? "\"x\"" : address[1]);
            generator.writeNumberField("ModifyIndex", version.revision());
            generator.writeObjectFieldStart("Meta");
            generator.writeStringField("id", value.text("id", id));
            generator.writeStringField("cell", Integer.toString((int) value.number("cell", 0)));
            generator.writeEndObject();
            generator.writeEndObject();
            writeChecks(generator, id, phase.equals("Ready") ? "passing" : "critical");
        });
    }

    /** Parses a value; returns one with an unreadable address if it is not a JSON object. */
    private static ConfigurationObject parseValue(byte[] value) throws IOException {
        try {
            return ConfigurationObject.parse(value, "value");
        } catch (IOException | RuntimeException e) {
            return ConfigurationObject.parse("{\"host_port\":\"nowhere:x\"}".getBytes(UTF_8), "value");
        }
    }

    private static void writeChecks(JsonGenerator generator, String id, String status) throws IOException {
        generator.writeArrayFieldStart("Checks");
        generator.writeStartObject();
        generator.writeStringField("CheckID", "service:" + id);
        generator.writeStringField("Status", status);
        generator.writeEndObject();
        generator.writeEndArray();
    }
}
