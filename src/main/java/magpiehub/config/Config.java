package magpiehub.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointState;
import magpiehub.routing.Guarantees;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RequestClass;
import magpiehub.routing.RoutingCosts;
import magpiehub.routing.RoutingLimits;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.Tenant;
import magpiehub.routing.WeightMeaning;

/**
 * What both hosts of the module read: the settings, and lists of engines under the names that each wire gives
 * their fields; for the router also its own configuration file. It owns the names and units of the settings.
 * It must never guess: an absent key takes its documented default, a value of the wrong type is
 * {@link ConfigurationException} and names its path.
 */
public final class Config {
    /** The one factory: its symbol tables are shared by everything that reads JSON. */
    public static final JsonFactory JSON = new JsonFactory();

    /** The place of each in a list that grows by those that it does not hold; the first of a name counts. */
    static <T> Map<String, Integer> places(List<T> from, Function<T, String> name, List<T> all) {
        Map<String, Integer> m = new java.util.HashMap<>();
        for (T t : from) {
            int i = all.indexOf(t);
            if (i < 0) {
                i = all.size();
                all.add(t);
            }
            m.putIfAbsent(name.apply(t), i);
        }
        return Map.copyOf(m);
    }

    /** Keys that may come and go; any other that a file had, the next one must have too. */
    private static final java.util.Set<String> OPTIONAL = java.util.Set.of("known", "seed", "aimStretch");

    /** Guards against half a file that reads as a whole one: the first key that a later file lacks, or null.
     *  In a list of objects the keys count that all of them have. */
    static String lacking(Map<?, ?> now, Map<?, ?> later, String path) {
        for (Map.Entry<?, ?> e : now.entrySet()) {
            if (OPTIONAL.contains(e.getKey())) {
                continue;
            }
            String at = path + "." + e.getKey();
            Object v = later.get(e.getKey());
            if (v == null && e.getValue() != null) {
                return at;
            }
            String lacks = null;
            if (e.getValue() instanceof Map<?, ?> a && v instanceof Map<?, ?> b) {
                lacks = lacking(a, b, at);
            } else if (e.getValue() instanceof List<?> a && v instanceof List<?> b) {
                Map<Object, Object> common = new LinkedHashMap<>();
                for (Object o : a) {
                    if (o instanceof Map<?, ?> m) {
                        if (o == a.get(0)) {
                            common.putAll(m);
                        }
                        common.keySet().retainAll(m.keySet());
                    }
                }
                for (int i = 0; i < b.size() && lacks == null; i++) {
                    lacks = b.get(i) instanceof Map<?, ?> m ? lacking(common, m, at + "[" + i + "]") : null;
                }
            }
            if (lacks != null) {
                return lacks;
            }
        }
        return null;
    }

    static void differences(Map<?, ?> a, Map<?, ?> b, String path, List<String> names) {
        java.util.Set<Object> keys = new java.util.TreeSet<>(a.keySet());
        keys.addAll(b.keySet());
        for (Object k : keys) {
            Object x = a.get(k);
            Object y = b.get(k);
            if (path.isEmpty() && x instanceof Map<?, ?> m && y instanceof Map<?, ?> n && !k.equals("known")) {
                differences(m, n, k + ".", names);
            } else if (!java.util.Objects.equals(x, y)) {
                names.add(path + k);
            }
        }
    }

    private Config() {}

    // ---- JSON -----------------------------------------------------------------------------------------
    /** The object that the parser stands at, as maps, lists, numbers, texts and flags. */
    public static Map<String, Object> object(JsonParser p) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException("must be an object");
        }
        Map<String, Object> m = new LinkedHashMap<>();
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            p.nextToken();
            m.put(name, value(p));
        }
        return m;
    }

    private static Object value(JsonParser p) throws IOException {
        return switch (p.currentToken()) {
            case START_OBJECT -> object(p);
            case START_ARRAY -> {
                List<Object> l = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    l.add(value(p));
                }
                yield l;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> p.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_STRING -> p.getText();
            default -> null;
        };
    }

    public static long micros(double ms) {
        return Math.round(ms * 1000);
    }

    // ---- Settings -------------------------------------------------------------------------------------
    /** The settings that the simulator's first message and a router's configuration hold alike. */
    public static SiteSettings site(ConfigurationObject f) {
        List<Double> perToken = f.object("familyInfo").numbers("aimUsPer1000PromptTokens");
        List<Double> tokenAim = f.object("familyInfo").numbers("tokenAimMs");
        List<RequestClass> classes = new ArrayList<>();
        for (ConfigurationObject c : f.objects("classes")) {
            int i = classes.size();
            classes.add(new RequestClass(
                    c.text("name", ""),
                    switch (c.text("effect", "pure")) {
                        case "pure" -> Idempotency.PURE;
                        case "token" -> Idempotency.TOKEN;
                        case "side_effect" -> Idempotency.SIDE_EFFECT;
                        default -> throw new ConfigurationException(
                                "classes.effect is no effect: " + c.text("effect", ""));
                    },
                    switch (c.text("group", "all")) {
                        case "all" -> DeduplicationScope.ALL;
                        case "zone" -> DeduplicationScope.ZONE;
                        case "cell" -> DeduplicationScope.CELL;
                        default -> throw new ConfigurationException(
                                "classes.group is no group: " + c.text("group", ""));
                    },
                    c.micros("windowMs", 0),
                    c.flag("stream", false),
                    c.micros("aimMs", 0),
                    i < perToken.size() ? perToken.get(i).longValue() : 0,
                    c.number("aimStretch", 0),
                    c.micros("deadlineMs", 0),
                    i < tokenAim.size() ? micros(tokenAim.get(i)) : 0,
                    c.number("gain", 1),
                    c.number("lateShare", 0)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (ConfigurationObject t : f.objects("accounts")) {
            tenants.add(new Tenant(t.text("name", ""), t.number("share", 0), t.number("allowancePerS", 0)));
        }
        ConfigurationObject l = f.object("limits");
        ConfigurationObject g = f.object("guarantees");
        ConfigurationObject c = f.object("costs");
        RoutingSettings s = new RoutingSettings(
                (int) f.number("me", 0),
                Math.max(1, (int) f.number("instances", 1)),
                (int) f.number("myZone", 0),
                f.list("zones").size(),
                f.text("membershipMode", "automatic").equals("subscribe"),
                f.object("familyInfo").flag("resume", false),
                switch (f.text("weights", "none")) {
                    case "nominal" -> WeightMeaning.NOMINAL;
                    case "rough" -> WeightMeaning.ROUGH;
                    case "live" -> WeightMeaning.LIVE;
                    default -> WeightMeaning.NONE;
                },
                f.number("overShareWorth", 1),
                classes,
                tenants,
                new RoutingLimits(
                        l.flag("cancel", false),
                        l.flag("probes", false),
                        l.flag("peers", false),
                        l.flag("parallelTries", false),
                        l.flag("retryAfter", false),
                        (int) l.number("mostTries", 1),
                        (int) l.number("mostHeld", 1e6),
                        l.micros("maxRetryAfterMs", 0),
                        l.micros("connectTimeoutMs", 250)),
                new Guarantees(
                        g.micros("answerSlackMs", 0),
                        g.micros("askWithinMs", 10_000),
                        g.micros("coldMs", 0),
                        g.micros("fallMs", 1000),
                        g.number("overloadFactor", 2),
                        g.number("startCapacity", 1),
                        g.micros("stopSendingWithinMs", 0)),
                new RoutingCosts(
                        c.number("crossZone", 0),
                        c.number("waste", 0),
                        c.number("probe", 0),
                        c.number("lateFail", 0),
                        c.number("connection", 0),
                        c.number("handshake", 0)));
        return new SiteSettings(
                s,
                f.texts("zones"),
                f.texts("machineTypes"),
                l.micros("idleCloseMs", 30_000),
                telemetry(f.object("telemetry")),
                places(classes, RequestClass::name, new ArrayList<>(classes)),
                places(tenants, Tenant::name, new ArrayList<>(tenants)));
    }

    private static LoadReportSettings telemetry(ConfigurationObject t) {
        String how = t.text("how", "none");
        if (!List.of("none", "answers", "probe").contains(how)) {
            throw new ConfigurationException("telemetry.how is unknown: " + how);
        }
        return new LoadReportSettings(how.equals("none") ? List.of() : t.texts("fields"), how.equals("answers"));
    }

    /** The entries of the array that the parser stands at. */
    public static List<EndpointEntry> entries(JsonParser p, EndpointFieldNames names) throws IOException {
        if (p.currentToken() != JsonToken.START_ARRAY) {
            throw new ConfigurationException("must be an array");
        }
        List<EndpointEntry> list = new ArrayList<>();
        while (p.nextToken() == JsonToken.START_OBJECT) {
            list.add(entry(p, names));
        }
        if (p.currentToken() != JsonToken.END_ARRAY) {
            throw new ConfigurationException("must hold objects only");
        }
        return list;
    }

    /** The entry that the parser stands at the start of. */
    private static EndpointEntry entry(JsonParser p, EndpointFieldNames names) throws IOException {
        String id = null;
        String address = null;
        EndpointState state = EndpointState.LIVE;
        int zone = 0;
        int kind = 0;
        int cell = 0;
        double weight = 1;
        double online = 0;
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            String field = names.field(name);
            p.nextToken();
            switch (field == null ? "" : field) {
                case "id" -> id = text(p, name);
                case "address" -> address = text(p, name);
                case "state" -> state = names.state(text(p, name));
                case "zone" -> zone = names.number(field, p);
                case "kind" -> kind = names.number(field, p);
                case "cell" -> cell = (int) number(p, name);
                case "weight" -> weight = number(p, name);
                case "since" -> online = number(p, name);
                default -> p.skipChildren();
            }
        }
        if (id == null) {
            throw new ConfigurationException("an entry has no id");
        }
        return new EndpointEntry(new Endpoint(id, zone, kind, cell, state, weight, names.since(online)), address);
    }

    public static String text(JsonParser p, String name) throws IOException {
        if (p.currentToken() != JsonToken.VALUE_STRING) {
            throw new ConfigurationException(name + " must be a text");
        }
        return p.getText();
    }

    public static double number(JsonParser p, String name) throws IOException {
        if (p.currentToken() == null || !p.currentToken().isNumeric()) {
            throw new ConfigurationException(name + " must be a number");
        }
        return p.getDoubleValue();
    }

    // ---- A router's own file --------------------------------------------------------------------------
    /** The configuration after a new file has replaced the old one: the variables are those of the start, so
     *  from then on the file says where discovery is. */
    public static RouterConfiguration reread(Map<String, String> env, RouterConfiguration inForce) throws IOException {
        Map<String, String> kept = new java.util.HashMap<>(env);
        kept.remove("ROUTER_DISCOVERY");
        RouterConfiguration r = router(kept);
        String lacks = lacking(inForce.file(), r.file(), "config");
        if (lacks != null) {
            throw new ConfigurationException(lacks + " is missing");
        }
        return r;
    }

    /** What can't be done without, and would end every request at once if it were 0. */
    private static void check(ConfigurationObject settings) {
        for (ConfigurationObject c : settings.objects("classes")) {
            c.positive("deadlineMs", 0.001);
        }
        settings.object("limits").positive("mostTries", 1);
    }

    /** Reads the file that ROUTER_CONFIG names; the other variables go before what it says. */
    public static RouterConfiguration router(Map<String, String> env) throws IOException {
        String file = env.get("ROUTER_CONFIG");
        if (file == null) {
            throw new ConfigurationException("ROUTER_CONFIG is not set");
        }
        if (!Files.isReadable(Path.of(file))) {
            throw new ConfigurationException("ROUTER_CONFIG names no readable file: " + file);
        }
        ConfigurationObject f = facts(Files.readAllBytes(Path.of(file)), "config");
        ConfigurationObject limits = f.object("limits");
        if (f.object("settings").objects("classes").isEmpty()) {
            throw new ConfigurationException("config.settings.classes is missing");
        }
        check(f.object("settings"));
        Object known = f.map().get("known");
        return new RouterConfiguration(
                said(env, "ROUTER_NAME", f.text("name", null)),
                address(said(env, "ROUTER_LISTEN", f.text("listen", null))),
                optional(env, "ROUTER_CONSOLE", f.text("console", null)),
                inherited(env.get("ROUTER_FD")),
                optional(env, "ROUTER_DISCOVERY", f.text("discovery", null)),
                seed(f.map().get("seed")),
                (int) limits.number("memory_mb", 192),
                (int) limits.number("sockets", 1024),
                known == null ? null : write(known),
                site(f.object("settings")),
                f.map());
    }

    /** The single object that a text holds. */
    public static ConfigurationObject facts(byte[] json, String path) throws IOException {
        try (JsonParser p = JSON.createParser(json)) {
            p.nextToken();
            ConfigurationObject f = new ConfigurationObject(object(p), path);
            if (p.nextToken() != null) {
                throw new ConfigurationException(path + " holds more than one value");
            }
            return f;
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new ConfigurationException(path + ": " + e.getOriginalMessage());
        }
    }

    private static byte[] write(Object value) throws IOException {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        try (var g = JSON.createGenerator(out)) {
            write(g, value);
        }
        return out.toByteArray();
    }

    private static void write(com.fasterxml.jackson.core.JsonGenerator g, Object value) throws IOException {
        if (value instanceof Map<?, ?> m) {
            g.writeStartObject();
            for (Map.Entry<?, ?> e : m.entrySet()) {
                g.writeFieldName((String) e.getKey());
                write(g, e.getValue());
            }
            g.writeEndObject();
        } else if (value instanceof List<?> l) {
            g.writeStartArray();
            for (Object o : l) {
                write(g, o);
            }
            g.writeEndArray();
        } else if (value instanceof Double d) {
            g.writeNumber(d);
        } else if (value instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (value instanceof String s) {
            g.writeString(s);
        } else {
            g.writeNull();
        }
    }

    /** Null where nothing names it: an installation may have a registry of its own, and no console. */
    private static String optional(Map<String, String> env, String variable, String file) {
        String v = env.get(variable);
        return file == null && (v == null || v.isEmpty()) ? null : address(said(env, variable, file));
    }

    private static boolean inherited(String descriptor) {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.strip().equals("0")) {
            throw new ConfigurationException("ROUTER_FD must be 0, the one that can be inherited: " + descriptor);
        }
        return true;
    }

    private static String said(Map<String, String> env, String variable, String otherwise) {
        String v = env.get(variable) != null && !env.get(variable).isEmpty() ? env.get(variable) : otherwise;
        if (v == null) {
            throw new ConfigurationException(variable + " is not set and the configuration has no value for it");
        }
        return v;
    }

    /** An address and port as {@code host:port}. */
    public static String address(String s) {
        int colon = s.lastIndexOf(':');
        try {
            int port = Integer.parseInt(s.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 65536) {
                return s;
            }
        } catch (NumberFormatException e) {
            // Falls through to the one complaint.
        }
        throw new ConfigurationException("is no address:port: " + s);
    }

    /** What an {@link #address} names. */
    public static InetSocketAddress socketAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    private static long seed(Object v) {
        if (v instanceof Double d) {
            return Double.doubleToLongBits(d);
        }
        if (v instanceof String s) {
            try {
                return Long.parseUnsignedLong(s, 16);
            } catch (NumberFormatException e) {
                return s.hashCode() * 0x9e3779b97f4a7c15L;
            }
        }
        throw new ConfigurationException("config.seed is missing");
    }
}
