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
 * {@link Malformed} and names its path.
 */
public final class Config {
    /** The one factory: its symbol tables are shared by everything that reads JSON. */
    public static final JsonFactory JSON = new JsonFactory();

    /** Input that does not follow its description: the message names the place. */
    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public Malformed(String message) {
            super(message);
        }
    }

    /** Engines' load reports: the fields of each, none where there are no reports, and whether answers carry
     *  them, or probes alone. */
    public record Telemetry(List<String> fields, boolean answers) {}

    /** The module's settings, and what the hosts need besides. Times in microseconds. Classes and tenants are
     *  known by their places in the settings; places whose names are not in the two maps have vanished, and
     *  are kept for what is under way. */
    public record Site(
            RoutingSettings settings,
            List<String> zones,
            List<String> kinds,
            long idleClose,
            Telemetry telemetry,
            Map<String, Integer> classes,
            Map<String, Integer> tenants) {
        /** A class's number by its name; -1 if there is none, and the module turns such a request away. */
        public int cls(String name) {
            return classes.getOrDefault(name, -1);
        }

        /** A tenant's number by its name; -1 if there is none. */
        public int tenant(String name) {
            return tenants.getOrDefault(name, -1);
        }

        /** What holds once a later file has come: every class and tenant that this one knows keeps its place,
         *  and one that is new, or another under an old name, takes the next. */
        public Site followedBy(Site later) {
            List<RequestClass> cs = new ArrayList<>(settings.classes());
            List<Tenant> ts = new ArrayList<>(settings.tenants());
            RoutingSettings s = later.settings;
            Map<String, Integer> classNames = places(s.classes(), RequestClass::name, cs);
            Map<String, Integer> tenantNames = places(s.tenants(), Tenant::name, ts);
            return new Site(
                    new RoutingSettings(
                            s.me(),
                            s.instances(),
                            s.myZone(),
                            s.zones(),
                            s.subscribe(),
                            s.resume(),
                            s.weights(),
                            s.overShareWorth(),
                            List.copyOf(cs),
                            List.copyOf(ts),
                            s.limits(),
                            s.guarantees(),
                            s.costs()),
                    later.zones,
                    later.kinds,
                    later.idleClose,
                    later.telemetry,
                    classNames,
                    tenantNames);
        }
    }

    /** The place of each in a list that grows by those that it does not hold; the first of a name counts. */
    private static <T> Map<String, Integer> places(List<T> from, Function<T, String> name, List<T> all) {
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

    /** A router's own configuration. {@code known} is the list as JSON, in discovery's form; {@code file} is
     *  what the file said, for comparing it with a later one. {@code console} is where operators call, null
     *  if nowhere; {@code inherited} says that the clients' listening socket is descriptor 0. */
    public record Router(
            String name,
            String listen,
            String console,
            boolean inherited,
            String discovery,
            long seed,
            int memoryMb,
            int sockets,
            byte[] known,
            Site site,
            Map<String, Object> file) {
        /** The members of the file in which a later file differs, settings by their own names. The list and
         *  the seed belong to a start, and discovery's address is followed by itself: these don't count. */
        public List<String> changes(Router later) {
            List<String> names = new ArrayList<>();
            differences(file, later.file, "", names);
            names.removeAll(List.of("known", "seed", "discovery", "console"));
            return names;
        }
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

    private static void differences(Map<?, ?> a, Map<?, ?> b, String path, List<String> names) {
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
            throw new Malformed("must be an object");
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

    /** An object's members: absent keys take a default, values of the wrong type are malformed. */
    public record Facts(Map<String, Object> map, String path) {
        private <T> T get(String key, Class<T> type) {
            Object v = map.get(key);
            if (v != null && !type.isInstance(v)) {
                throw new Malformed(path + "." + key + " has the wrong type");
            }
            return type.cast(v);
        }

        public double number(String key, double absent) {
            Double v = get(key, Double.class);
            return v == null ? absent : v;
        }

        /** Of a value that has to be there, and above 0 in whole units of so much. */
        void positive(String key, double unit) {
            Double v = get(key, Double.class);
            if (v == null || !(v >= unit) || v.isInfinite()) {
                throw new Malformed(path + "." + key + (v == null ? " is missing" : " must be a number above 0"));
            }
        }

        long micros(String key, double absentMs) {
            return Config.micros(number(key, absentMs));
        }

        public String text(String key, String absent) {
            String v = get(key, String.class);
            return v == null ? absent : v;
        }

        public boolean flag(String key, boolean absent) {
            Boolean v = get(key, Boolean.class);
            return v == null ? absent : v;
        }

        List<?> list(String key) {
            List<?> v = get(key, List.class);
            return v == null ? List.of() : v;
        }

        private <T> List<T> all(String key, Class<T> type, String what) {
            List<T> r = new ArrayList<>();
            for (Object o : list(key)) {
                if (!type.isInstance(o)) {
                    throw new Malformed(path + "." + key + " must hold " + what);
                }
                r.add(type.cast(o));
            }
            return r;
        }

        public List<Double> numbers(String key) {
            return all(key, Double.class, "numbers");
        }

        public List<String> texts(String key) {
            return all(key, String.class, "texts");
        }

        @SuppressWarnings("unchecked")
        public Facts object(String key) {
            Map<String, Object> m = get(key, Map.class);
            return new Facts(m == null ? Map.of() : m, path + "." + key);
        }

        @SuppressWarnings("unchecked")
        public List<Facts> objects(String key) {
            List<Facts> r = new ArrayList<>();
            for (Map<String, Object> m : all(key, Map.class, "objects")) {
                r.add(new Facts(m, path + "." + key));
            }
            return r;
        }
    }

    public static long micros(double ms) {
        return Math.round(ms * 1000);
    }

    // ---- Settings -------------------------------------------------------------------------------------
    /** The settings that the simulator's first message and a router's configuration hold alike. */
    public static Site site(Facts f) {
        List<Double> perToken = f.object("familyInfo").numbers("aimUsPer1000PromptTokens");
        List<Double> tokenAim = f.object("familyInfo").numbers("tokenAimMs");
        List<RequestClass> classes = new ArrayList<>();
        for (Facts c : f.objects("classes")) {
            int i = classes.size();
            classes.add(new RequestClass(
                    c.text("name", ""),
                    switch (c.text("effect", "pure")) {
                        case "pure" -> Idempotency.PURE;
                        case "token" -> Idempotency.TOKEN;
                        case "side_effect" -> Idempotency.SIDE_EFFECT;
                        default -> throw new Malformed("classes.effect is no effect: " + c.text("effect", ""));
                    },
                    switch (c.text("group", "all")) {
                        case "all" -> DeduplicationScope.ALL;
                        case "zone" -> DeduplicationScope.ZONE;
                        case "cell" -> DeduplicationScope.CELL;
                        default -> throw new Malformed("classes.group is no group: " + c.text("group", ""));
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
        for (Facts t : f.objects("accounts")) {
            tenants.add(new Tenant(t.text("name", ""), t.number("share", 0), t.number("allowancePerS", 0)));
        }
        Facts l = f.object("limits");
        Facts g = f.object("guarantees");
        Facts c = f.object("costs");
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
        return new Site(
                s,
                f.texts("zones"),
                f.texts("machineTypes"),
                l.micros("idleCloseMs", 30_000),
                telemetry(f.object("telemetry")),
                places(classes, RequestClass::name, new ArrayList<>(classes)),
                places(tenants, Tenant::name, new ArrayList<>(tenants)));
    }

    private static Telemetry telemetry(Facts t) {
        String how = t.text("how", "none");
        if (!List.of("none", "answers", "probe").contains(how)) {
            throw new Malformed("telemetry.how is unknown: " + how);
        }
        return new Telemetry(how.equals("none") ? List.of() : t.texts("fields"), how.equals("answers"));
    }

    // ---- Lists of engines -----------------------------------------------------------------------------
    /** How a wire names an entry's fields and says zones, kinds, states and times. */
    public interface Names {
        /** The field that a name stands for: id, zone, kind, cell, state, weight, since, address or null. */
        String field(String name);

        /** A zone or kind, given as a number or a name. */
        int number(String field, JsonParser p) throws IOException;

        EndpointState state(String word);

        /** Clock time of a start, from the wire's number. */
        long since(double value);
    }

    /** An entry of a list; {@code address} is null on wires where the id is the address. */
    public record Entry(Endpoint server, String address) {}

    /** The entries of the array that the parser stands at. */
    public static List<Entry> entries(JsonParser p, Names names) throws IOException {
        if (p.currentToken() != JsonToken.START_ARRAY) {
            throw new Malformed("must be an array");
        }
        List<Entry> list = new ArrayList<>();
        while (p.nextToken() == JsonToken.START_OBJECT) {
            list.add(entry(p, names));
        }
        if (p.currentToken() != JsonToken.END_ARRAY) {
            throw new Malformed("must hold objects only");
        }
        return list;
    }

    /** The entry that the parser stands at the start of. */
    private static Entry entry(JsonParser p, Names names) throws IOException {
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
            throw new Malformed("an entry has no id");
        }
        return new Entry(new Endpoint(id, zone, kind, cell, state, weight, names.since(online)), address);
    }

    public static String text(JsonParser p, String name) throws IOException {
        if (p.currentToken() != JsonToken.VALUE_STRING) {
            throw new Malformed(name + " must be a text");
        }
        return p.getText();
    }

    public static double number(JsonParser p, String name) throws IOException {
        if (p.currentToken() == null || !p.currentToken().isNumeric()) {
            throw new Malformed(name + " must be a number");
        }
        return p.getDoubleValue();
    }

    // ---- A router's own file --------------------------------------------------------------------------
    /** The configuration after a new file has replaced the old one: the variables are those of the start, so
     *  from then on the file says where discovery is. */
    public static Router reread(Map<String, String> env, Router inForce) throws IOException {
        Map<String, String> kept = new java.util.HashMap<>(env);
        kept.remove("ROUTER_DISCOVERY");
        Router r = router(kept);
        String lacks = lacking(inForce.file, r.file, "config");
        if (lacks != null) {
            throw new Malformed(lacks + " is missing");
        }
        return r;
    }

    /** What can't be done without, and would end every request at once if it were 0. */
    private static void check(Facts settings) {
        for (Facts c : settings.objects("classes")) {
            c.positive("deadlineMs", 0.001);
        }
        settings.object("limits").positive("mostTries", 1);
    }

    /** Reads the file that ROUTER_CONFIG names; the other variables go before what it says. */
    public static Router router(Map<String, String> env) throws IOException {
        String file = env.get("ROUTER_CONFIG");
        if (file == null) {
            throw new Malformed("ROUTER_CONFIG is not set");
        }
        if (!Files.isReadable(Path.of(file))) {
            throw new Malformed("ROUTER_CONFIG names no readable file: " + file);
        }
        Facts f = facts(Files.readAllBytes(Path.of(file)), "config");
        Facts limits = f.object("limits");
        if (f.object("settings").objects("classes").isEmpty()) {
            throw new Malformed("config.settings.classes is missing");
        }
        check(f.object("settings"));
        Object known = f.map().get("known");
        return new Router(
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
    public static Facts facts(byte[] json, String path) throws IOException {
        try (JsonParser p = JSON.createParser(json)) {
            p.nextToken();
            Facts f = new Facts(object(p), path);
            if (p.nextToken() != null) {
                throw new Malformed(path + " holds more than one value");
            }
            return f;
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new Malformed(path + ": " + e.getOriginalMessage());
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
            throw new Malformed("ROUTER_FD must be 0, the one that can be inherited: " + descriptor);
        }
        return true;
    }

    private static String said(Map<String, String> env, String variable, String otherwise) {
        String v = env.get(variable) != null && !env.get(variable).isEmpty() ? env.get(variable) : otherwise;
        if (v == null) {
            throw new Malformed(variable + " is not set and the configuration has no value for it");
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
        throw new Malformed("is no address:port: " + s);
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
        throw new Malformed("config.seed is missing");
    }
}
