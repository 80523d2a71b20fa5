package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.EndpointEntry;
import magpiehub.config.EndpointField;
import magpiehub.config.EndpointFieldNames;
import magpiehub.config.EndpointListParser;
import magpiehub.config.Json;
import magpiehub.config.Milliseconds;
import magpiehub.config.SiteSettingsParser;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.EndpointState;
import magpiehub.routing.LoadReport;
import magpiehub.routing.RoutingActions;
import magpiehub.routing.RoutingEvents;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingRequest;

/**
 * The wire adapter: reads batches of events, hands each to the node it names, writes the reply. It translates
 * words and units and decides nothing. A reply leaves in one piece, so malformed input leaves nothing half
 * written.
 */
public final class SimulatorAdapter {
    private final InputStream in;
    private final OutputStream out;
    private final PrintStream err;
    private final Map<Integer, RoutingEvents> nodes = new HashMap<>();
    private final Reply reply = new Reply();
    private JsonParser p;
    private long now;
    private boolean inBatch;
    private String message = "";
    private String field = "";

    // The fields of the event being read.
    private int who;
    private String job;
    private String engine;
    private String kind;
    private int type;
    private int customer;
    private int attempt;
    private int reason;
    private int peer;
    private long pathKey;
    private long sharedPrefix;
    private long nonce;
    private long seed;
    private long detail;
    private double dropDead;
    private double predicted;
    private double prompt;
    private double prefixLen;
    private double maxOut;
    private double took;
    private double atTime;
    private boolean retry;
    private boolean write;
    private boolean again;
    private boolean settled;
    private LoadReport load;
    private byte[] payload;
    private Map<String, Object> facts;
    private List<Endpoint> servers;

    /** An adapter between two streams; complaints go to the third. */
    public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
        this.in = in;
        this.out = out;
        this.err = err;
    }

    /** Plays until the input ends; 0 if it ended well, 1 if it was malformed. */
    public int run() throws IOException {
        p = Json.FACTORY.createParser(in);
        try {
            while (p.nextToken() != null) {
                if (!readMessage()) {
                    return 1;
                }
            }
            if (inBatch) {
                throw new ConfigurationException("the input ended inside a batch");
            }
            return 0;
        } catch (ConfigurationException e) {
            return complain(e.getMessage());
        } catch (JsonParseException e) {
            return complain(e.getOriginalMessage());
        }
    }

    private int complain(String what) {
        String at = message + (field.isEmpty() ? "" : "." + field);
        err.println("drill: line " + p.currentLocation().getLineNr() + (at.isEmpty() ? "" : ": " + at) + ": " + what);
        err.flush();
        return 1;
    }

    private boolean readMessage() throws IOException {
        message = "";
        field = "";
        expect(p.currentToken(), JsonToken.START_OBJECT, "a message must be an object");
        expect(p.nextToken(), JsonToken.FIELD_NAME, "a message must have a name");
        message = p.currentName();
        expect(p.nextToken(), JsonToken.START_OBJECT, "the fields must be an object");
        readFields();
        expect(p.nextToken(), JsonToken.END_OBJECT, "a message has one name only");
        if (message.equals("ROUND")) {
            check(!inBatch, "a batch is open already");
            field = "atTimeMs";
            check(!Double.isNaN(atTime), "is missing");
            now = micros(atTime);
            inBatch = true;
            reply.clear();
            return true;
        }
        check(inBatch, "comes outside a batch");
        if (message.equals("EOB")) {
            inBatch = false;
            reply.raw("{\"EOR\":{}}\n");
            reply.flush(out);
            return true;
        }
        try {
            dispatch();
        } catch (ConfigurationException e) {
            throw e;
        } catch (RuntimeException | StackOverflowError e) {
            e.printStackTrace(err);
            reply.clear();
            reply.open("INTERNAL_ERROR", who).text("bodyText", e.toString()).close();
            reply.raw("{\"EOR\":{}}\n");
            reply.flush(out);
            return false;
        }
        return true;
    }

    private void dispatch() {
        field = "who";
        check(who >= 0, "is missing");
        if (message.equals("PROVISION")) {
            field = "facts";
            check(facts != null, "is missing");
            nodes.put(
                    who,
                    new RoutingPolicy(
                            SiteSettingsParser.parse(new ConfigurationObject(facts, "facts"))
                                    .routing(),
                            seed,
                            new Sink(who),
                            now));
            return;
        }
        if (message.equals("EXIT")) {
            nodes.remove(who);
            return;
        }
        RoutingEvents node = nodes.get(who);
        check(node != null, "names an instance that was not started");
        switch (message) {
            case "INGRESS" -> {
                need(job, "job");
                field = "dropDeadMs";
                check(!Double.isNaN(dropDead), "is missing");
                node.onRequest(
                        now,
                        new RoutingRequest(
                                job,
                                type,
                                customer,
                                pathKey,
                                sharedPrefix,
                                micros(dropDead),
                                predicted,
                                prompt,
                                prefixLen,
                                maxOut,
                                retry,
                                write,
                                again));
            }
            case "BEGUN" -> node.onStreamStarted(now, need(job, "job"), attempt, micros(took));
            case "ANSWER" -> node.onAttemptEnded(
                    now, need(job, "job"), attempt, outcome(reason), micros(took), settled, detail, load);
            case "ABANDONED" -> node.onClientGone(now, need(job, "job"));
            case "TICK_DUE" -> node.onTimer(now, nonce);
            case "STATUS_BACK" -> node.onProbeResult(now, need(engine, "engine"), outcome(reason), micros(took), load);
            case "MESSAGE" -> node.onPeerMessage(now, peer, payload);
            case "PEERS_KNOWN" -> node.onEndpoints(now, listKind(need(kind, "kind")), servers);
            default -> throw new ConfigurationException("is no message of this wire");
        }
    }

    private void readFields() throws IOException {
        who = -1;
        job = null;
        engine = null;
        kind = null;
        type = 0;
        customer = 0;
        attempt = 0;
        reason = 0;
        peer = 0;
        pathKey = 0;
        sharedPrefix = 0;
        nonce = 0;
        seed = 0;
        detail = -1;
        dropDead = Double.NaN;
        predicted = 0;
        prompt = 0;
        prefixLen = 0;
        maxOut = 0;
        took = 0;
        atTime = Double.NaN;
        retry = false;
        write = false;
        again = false;
        settled = false;
        load = null;
        payload = null;
        facts = null;
        servers = List.of();
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            field = p.currentName();
            p.nextToken();
            switch (field) {
                case "who" -> who = (int) whole();
                case "job" -> job = text();
                case "engine" -> engine = text();
                case "kind" -> kind = text();
                case "type" -> type = (int) whole();
                case "customer" -> customer = (int) whole();
                case "n" -> attempt = (int) whole();
                case "reason" -> reason = (int) whole();
                case "srcPeer" -> peer = (int) whole();
                case "pathKey" -> pathKey = whole();
                case "sharedPrefix" -> sharedPrefix = whole();
                case "nonce" -> nonce = whole();
                case "initSeed" -> seed = bigWhole();
                case "detail" -> detail = whole();
                case "dropDeadMs" -> dropDead = number();
                case "predictedMs" -> predicted = number();
                case "nPrompt" -> prompt = number();
                case "prefixLen" -> prefixLen = number();
                case "maxOut" -> maxOut = number();
                case "tookMs" -> took = number();
                case "atTimeMs" -> atTime = number();
                case "retry" -> retry = bool();
                case "isWrite" -> write = bool();
                case "again" -> again = bool();
                case "settled" -> settled = bool();
                case "serverStats" -> load = readLoad();
                case "payload" -> payload = base64(text());
                case "facts" -> facts = Json.readObject(p);
                case "nodesList" -> servers = EndpointListParser.parse(p, NAMES).stream()
                        .map(EndpointEntry::endpoint)
                        .toList();
                default -> p.skipChildren();
            }
        }
        field = "";
        expect(p.currentToken(), JsonToken.END_OBJECT, "the fields must end with the object");
    }

    private LoadReport readLoad() throws IOException {
        expect(p.currentToken(), JsonToken.START_OBJECT, "must be an object");
        double[] v = new double[8];
        java.util.Arrays.fill(v, Double.NaN);
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            int at =
                    switch (p.currentName()) {
                        case "inflight" -> 0;
                        case "queue" -> 1;
                        case "util" -> 2;
                        case "latency_ms" -> 3;
                        case "qps" -> 4;
                        case "eps" -> 5;
                        case "x0" -> 6;
                        case "x1" -> 7;
                        default -> -1;
                    };
            p.nextToken();
            if (at < 0) {
                p.skipChildren();
            } else {
                v[at] = number();
            }
        }
        return new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]);
    }

    /** The fields of an entry as this wire names them. */
    private static final EndpointFieldNames NAMES = new EndpointFieldNames() {
        @Override
        public EndpointField fieldNamed(String name) {
            return switch (name) {
                case "engine" -> EndpointField.ID;
                case "failureDomain" -> EndpointField.ZONE;
                case "familyType" -> EndpointField.MACHINE_TYPE;
                case "pod" -> EndpointField.CELL;
                case "state" -> EndpointField.STATE;
                case "powerHint" -> EndpointField.WEIGHT;
                case "onlineSinceMs" -> EndpointField.STARTED_AT;
                default -> null;
            };
        }

        @Override
        public int readIndex(EndpointField field, JsonParser at) throws IOException {
            return (int) Json.requireNumber(at, field.label());
        }

        @Override
        public EndpointState parseState(String word) {
            return switch (word) {
                case "live" -> EndpointState.LIVE;
                case "quiescing" -> EndpointState.DRAINING;
                case "dead" -> EndpointState.DEAD;
                default -> throw new ConfigurationException("state is no state: " + word);
            };
        }

        @Override
        public long startedAtMicros(double ms) {
            return micros(ms);
        }
    };

    private static long micros(double ms) {
        return Milliseconds.toMicros(ms);
    }

    private static void expect(JsonToken got, JsonToken wanted, String otherwise) {
        check(got == wanted, otherwise);
    }

    private static void check(boolean fine, String otherwise) {
        if (!fine) {
            throw new ConfigurationException(otherwise);
        }
    }

    private String need(String value, String name) {
        field = name;
        check(value != null, "is missing");
        return value;
    }

    private long whole() throws IOException {
        check(p.currentToken() == JsonToken.VALUE_NUMBER_INT, "must be a whole number");
        return p.getLongValue();
    }

    /** A seed may use all 64 bits without a sign. */
    private long bigWhole() throws IOException {
        check(p.currentToken() == JsonToken.VALUE_NUMBER_INT, "must be a whole number");
        return p.getBigIntegerValue().longValue();
    }

    private double number() throws IOException {
        check(p.currentToken().isNumeric(), "must be a number");
        return p.getDoubleValue();
    }

    private boolean bool() throws IOException {
        check(p.currentToken().isBoolean(), "must be true or false");
        return p.getBooleanValue();
    }

    private String text() throws IOException {
        check(p.currentToken() == JsonToken.VALUE_STRING, "must be a text");
        return p.getText();
    }

    private static byte[] base64(String s) {
        try {
            return Base64.getDecoder().decode(s);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("is not base64");
        }
    }

    private static EndpointListKind listKind(String word) {
        return switch (word) {
            case "Partial" -> EndpointListKind.CHANGES;
            case "Complete" -> EndpointListKind.COMPLETE;
            case "Persisted" -> EndpointListKind.SAVED;
            case "Error" -> EndpointListKind.ERROR;
            default -> throw new ConfigurationException("is no kind of list: " + word);
        };
    }

    private static AttemptOutcome outcome(int code) {
        return switch (code) {
            case 0 -> AttemptOutcome.OK;
            case 13 -> AttemptOutcome.ERROR;
            case 8 -> AttemptOutcome.FULL;
            case 4 -> AttemptOutcome.TIMEOUT;
            case 14 -> AttemptOutcome.CONNECT_FAILED;
            case 10 -> AttemptOutcome.RESET;
            case 1 -> AttemptOutcome.CANCELLED;
            case 9 -> AttemptOutcome.MOOT;
            default -> throw new ConfigurationException("reason is no outcome: " + code);
        };
    }

    /** The actions of one node, written to the reply as they come. */
    private final class Sink implements RoutingActions {
        private final int node;

        Sink(int node) {
            this.node = node;
        }

        @Override
        public void sendAttempt(String id, String server, long timeout) {
            reply.open("PASS_ON", node).text("job", id).text("engine", server);
            if (timeout != 0) {
                reply.millis("giveUpAfterMs", timeout);
            }
            reply.close();
        }

        @Override
        public void cancelAttempt(String id, int n) {
            reply.open("ABANDON", node).text("job", id).number("n", n).close();
        }

        @Override
        public void reject(String id, long retryAfter) {
            reply.open("REJECT", node).text("job", id);
            if (retryAfter > 0) {
                reply.millis("comeBackMs", retryAfter);
            }
            reply.close();
        }

        @Override
        public void fail(String id) {
            reply.open("DROP_REQUEST", node).text("job", id).close();
        }

        @Override
        public void watch() {
            reply.open("LISTEN", node).raw(",\"on\":true").close();
        }

        @Override
        public void setTimer(long at, long token) {
            reply.open("SCHEDULE", node)
                    .millis("alarmTimeMs", at)
                    .number("nonce", token)
                    .close();
        }

        @Override
        public void probe(String server) {
            reply.open("SAMPLE", node).text("engine", server).close();
        }

        @Override
        public void migrateStream(String id) {
            reply.open("GO_AWAY", node).text("job", id).close();
        }

        @Override
        public void fetch() {
            reply.open("RESOLVE", node).close();
        }

        @Override
        public void unwatch() {
            reply.open("LISTEN", node).raw(",\"on\":false").close();
        }

        @Override
        public void closeIdleConnections(String server) {
            reply.open("CLOSE", node).text("engine", server).close();
        }

        @Override
        public void sendToPeer(int to, byte[] bytes) {
            reply.open("SHARE", node);
            if (to < 0) {
                reply.text("whom", "*");
            } else {
                reply.number("whom", to);
            }
            reply.text("payload", Base64.getEncoder().encodeToString(bytes)).close();
        }

        @Override
        public void log(String line) {
            reply.open("DEBUG", node).text("bodyText", line).close();
        }
    }

    /** The bytes of one reply. */
    private static final class Reply {
        private byte[] buf = new byte[1 << 14];
        private int n;

        void clear() {
            n = 0;
        }

        void flush(OutputStream to) throws IOException {
            to.write(buf, 0, n);
            to.flush();
            n = 0;
        }

        private void put(int b) {
            if (n == buf.length) {
                buf = java.util.Arrays.copyOf(buf, n * 2);
            }
            buf[n++] = (byte) b;
        }

        Reply raw(String s) {
            for (int i = 0; i < s.length(); i++) {
                put(s.charAt(i));
            }
            return this;
        }

        Reply open(String name, int node) {
            return raw("{\"").raw(name).raw("\":{\"who\":").digits(node);
        }

        void close() {
            raw("}}\n");
        }

        Reply number(String name, long v) {
            return raw(",\"").raw(name).raw("\":").digits(v);
        }

        Reply millis(String name, long us) {
            raw(",\"").raw(name).raw("\":");
            long v = us;
            if (v < 0) {
                put('-');
                v = -v;
            }
            digits(v / 1000);
            int rest = (int) (v % 1000);
            put('.');
            put('0' + rest / 100);
            put('0' + rest / 10 % 10);
            put('0' + rest % 10);
            return this;
        }

        Reply text(String name, String s) {
            raw(",\"").raw(name).raw("\":\"");
            for (int i = 0; i < s.length(); i++) {
                char c = s.charAt(i);
                if (c == '"' || c == '\\') {
                    put('\\');
                    put(c);
                } else if (c >= 0x20 && c < 0x7f) {
                    put(c);
                } else if (c < 0x20) {
                    raw(String.format("\\u%04x", (int) c));
                } else {
                    int end = Character.isHighSurrogate(c) && i + 1 < s.length() ? i + 2 : i + 1;
                    for (byte b : s.substring(i, end).getBytes(StandardCharsets.UTF_8)) {
                        put(b);
                    }
                    i = end - 1;
                }
            }
            put('"');
            return this;
        }

        private Reply digits(long v) {
            if (v < 0) {
                put('-');
                return digits(-v);
            }
            if (v >= 10) {
                digits(v / 10);
            }
            put((int) ('0' + v % 10));
            return this;
        }
    }
}
