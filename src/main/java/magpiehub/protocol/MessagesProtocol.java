package magpiehub.protocol;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;
import magpiehub.config.SiteSettings;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpLimits;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;
import magpiehub.store.KeyValueStore;

/**
 * The messages API's form: {@code POST /v1/messages}, answered with {@code message_start},
 * {@code content_block_delta}, {@code message_delta} and {@code message_stop}, or as one message. It owns the
 * translation between that dialect and the engines'. It must never say {@code message_stop} or give a whole
 * message for a stream that neither the engines' framing has ended nor a reason for its finish, and it
 * decides nothing: class, deadline,
 * attempts and outcome are the core's, as for the platform's front.
 */
public final class MessagesProtocol implements ProtocolAdapter {
    private static final String PATH = "/v1/messages";
    /** The one header of this dialect that means the same to engines, in lower case. */
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** As everywhere on the platform. */
    private static final int CHARACTERS_A_TOKEN = 4;
    /** Session and prefix ids stay below what the simulator's wire can carry. */
    private static final long ID_MASK = (1L << 53) - 1;

    /** Where this front listens, and what a request is that does not say it: the file's own words. */
    public record Options(String listen, String cls, String tenant, Map<String, Object> models) {
        /** The options in a file; null if there is none, and then this front is off. */
        public static Options read(Path file) throws IOException {
            if (!Files.exists(file)) {
                return null;
            }
            ConfigurationObject f = ConfigurationObject.parse(
                    Files.readAllBytes(file), file.getFileName().toString());
            String listen = f.text("listen", null);
            if (listen == null) {
                throw new ConfigurationException(file.getFileName() + " gives no address in \"listen\"");
            }
            return new Options(
                    HostPort.requireValid(listen),
                    f.text("class", ""),
                    f.text("tenant", ""),
                    f.object("models").map());
        }
    }

    private final Supplier<SiteSettings> site;
    private final Options options;
    /** Null where the store is off. */
    private final KeyValueStore store;

    public MessagesProtocol(Supplier<SiteSettings> site, Options options, KeyValueStore store) {
        this.site = site;
        this.options = options;
        this.store = store;
    }

    // ---- Requests -------------------------------------------------------------------------------------
    @Override
    public Call read(HttpHead head, byte[] body, long at) throws HttpException {
        PlatformProtocol.posted(head, PATH);
        try {
            return translated(head, ConfigurationObject.parse(body, "request"), at);
        } catch (ConfigurationException e) {
            throw new HttpException(400, e.getMessage());
        } catch (HttpException e) {
            throw e;
        } catch (IOException e) {
            throw new HttpException(400, "body is unreadable");
        }
    }

    private Call translated(HttpHead head, ConfigurationObject f, long at) throws HttpException {
        String model = f.text("model", null);
        double most = f.number("max_tokens", 0);
        List<ConfigurationObject> messages = f.objects("messages");
        if (model == null || most < 1 || messages.isEmpty()) {
            throw new HttpException(400, "model, max_tokens and messages are required");
        }
        String system = text(f, "system");
        StringBuilder b = new StringBuilder(256 + system.length());
        b.append("{\"model\":")
                .append(quoted(model))
                .append(",\"stream\":true,\"stream_options\":")
                .append("{\"include_usage\":true},\"max_tokens\":")
                .append((long) most);
        for (String name : List.of("temperature", "top_p")) {
            if (f.map().containsKey(name)) {
                b.append(",\"").append(name).append("\":").append(f.number(name, 1));
            }
        }
        List<String> stops = f.texts("stop_sequences");
        for (int i = 0; i < stops.size(); i++) {
            b.append(i == 0 ? ",\"stop\":[" : ",").append(quoted(stops.get(i)));
        }
        b.append(stops.isEmpty() ? "" : "]").append(",\"messages\":[");
        long characters = system.length();
        if (!system.isEmpty()) {
            b.append("{\"role\":\"system\",\"content\":").append(quoted(system)).append("},");
        }
        String opening = null;
        for (ConfigurationObject m : messages) {
            String role = m.text("role", "");
            if (!role.equals("user") && !role.equals("assistant")) {
                throw new HttpException(400, "messages.role must be user or assistant");
            }
            String content = text(m, "content");
            opening = opening == null ? content : opening;
            characters += content.length();
            b.append("{\"role\":\"")
                    .append(role)
                    .append("\",\"content\":")
                    .append(quoted(content))
                    .append("},");
        }
        b.setCharAt(b.length() - 1, ']');
        byte[] body = b.append('}').toString().getBytes(StandardCharsets.UTF_8);
        if (body.length > HttpLimits.MAX_BODY_BYTES) {
            throw new HttpException(413, "body too large");
        }
        String cls = PlatformProtocol.name(head.headers().get("X-Call-Class"));
        SiteSettings now = site.get();
        int c = PlatformProtocol.cls(now, cls != null ? cls : classOf(model));
        String tenant = PlatformProtocol.name(head.headers().get("X-Caller"));
        String id = head.headers().get("X-Call-Id");
        String route = head.headers().get("X-Route-Hash");
        String budget = head.headers().get("X-Budget-Ms");
        long wait = budget != null
                ? PlatformProtocol.budget(budget)
                : now.routing().classes().get(c).deadline();
        // A conversation is known by its opening: each turn brings all that went before.
        long session = route != null
                ? PlatformProtocol.whole(route, 16, "X-Route-Hash")
                : hash(f.object("metadata").text("user_id", "") + '\n' + system + '\n' + opening);
        RoutingRequest r = new RoutingRequest(
                id != null ? PlatformProtocol.id(id) : newId(),
                c,
                now.tenantIndex(tenant != null ? tenant : options.tenant),
                session,
                system.isEmpty() ? 0 : hash(system),
                at + wait,
                0,
                Math.floorDiv(characters, CHARACTERS_A_TOKEN),
                Math.floorDiv(system.length(), CHARACTERS_A_TOKEN),
                most,
                false,
                false,
                false);
        return new Translated(
                r, head.headers().endToEndLines(IDEMPOTENCY_KEY::equals), body, model, f.flag("stream", false));
    }

    /** The class of a model's requests: what the store says, else the file, else the file's own default. */
    private String classOf(String model) {
        String stored = store == null ? null : store.get("messages/model/" + model);
        return stored != null ? stored : options.models.get(model) instanceof String s ? s : options.cls;
    }

    /** A text, or the texts of a list of blocks; other blocks are not what these engines take. */
    private static String text(ConfigurationObject f, String key) throws HttpException {
        Object v = f.map().get(key);
        if (v == null || v instanceof String) {
            return v == null ? "" : (String) v;
        }
        StringBuilder b = new StringBuilder();
        for (ConfigurationObject block : f.objects(key)) {
            if (!block.text("type", "").equals("text")) {
                throw new HttpException(400, key + " may hold text blocks only");
            }
            b.append(block.text("text", ""));
        }
        return b.toString();
    }

    private static long hash(String s) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < s.length(); i++) {
            h = (h ^ s.charAt(i)) * 0x100000001b3L;
        }
        return ((h ^ h >>> 32) & ID_MASK) | 1;
    }

    private static String newId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    private static String quoted(String s) {
        return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(s)) + '"';
    }

    // ---- Answers --------------------------------------------------------------------------------------
    @Override
    public boolean tellsLife() {
        return true;
    }

    @Override
    public void error(HttpWriter out, int status, String why, long retryAfter, boolean close) {
        // The dialect has a status of its own for 'overloaded'.
        int said = status == 503 ? 529 : status;
        HttpResponses.appendError(out, said, error(said, why) + "\n", retryAfter, close);
    }

    private static String error(int status, String why) {
        String type =
                switch (status) {
                    case 400, 405, 408, 431 -> "invalid_request_error";
                    case 404 -> "not_found_error";
                    case 413 -> "request_too_large";
                    case 504 -> "timeout_error";
                    case 529 -> "overloaded_error";
                    default -> "api_error";
                };
        return "{\"type\":\"error\",\"error\":{\"type\":\"" + type + "\",\"message\":" + quoted(why) + "}}";
    }

    private final class Translated extends Call {
        private final String model;
        private final boolean stream;
        private final StringBuilder whole = new StringBuilder();
        private String stop = "end_turn";
        /** The engine has said why its text is over: what may still come is usage and framing. */
        private boolean finished;

        private long read;
        private long kept;
        private long made;

        Translated(RoutingRequest request, byte[] headers, byte[] body, String model, boolean stream) {
            super(request, PlatformProtocol.PATH, headers, body);
            this.model = model;
            this.stream = stream;
        }

        private static void say(HttpWriter out, String name, String more) {
            out.appendChunk(("event: " + name + "\ndata: {\"type\":\"" + name + '"' + more + "}\n\n")
                    .getBytes(StandardCharsets.UTF_8));
        }

        private String message(String content, String stopReason) {
            return "{\"id\":\"msg_" + request.id()
                    + "\",\"type\":\"message\",\"role\":\"assistant\",\"model\":"
                    + quoted(model) + ",\"content\":[" + content + "],\"stop_reason\":" + stopReason
                    + ",\"stop_sequence\":null,\"usage\":" + usage() + "}";
        }

        private String usage() {
            return "{\"input_tokens\":" + (read - kept) + ",\"cache_read_input_tokens\":" + kept + ",\"output_tokens\":"
                    + made + "}";
        }

        @Override
        public void begin(HttpWriter out, boolean close) {
            if (stream) {
                read = (long) request.promptTokens();
                HttpResponses.appendEventStreamHead(out, close);
                say(out, "message_start", ",\"message\":" + message("", "null"));
                say(out, "content_block_start", ",\"index\":0,\"content_block\":{\"type\":\"text\",\"text\":\"\"}");
            }
        }

        @Override
        public void event(HttpWriter out, byte[] event) {
            if (event.length > 0 && event[0] == ':') {
                if (stream) {
                    say(out, "ping", ""); // The engine's sign of life, in this dialect's word for it.
                }
                return;
            }
            ConfigurationObject f;
            try {
                f = ConfigurationObject.parse(ProtocolAdapter.data(event).getBytes(StandardCharsets.UTF_8), "event");
                for (ConfigurationObject choice : f.objects("choices")) {
                    String text = choice.object("delta").text("content", "");
                    finished |= !choice.text("finish_reason", "").isEmpty();
                    stop = switch (choice.text("finish_reason", "")) {
                        case "length" -> "max_tokens";
                        case "content_filter" -> "refusal";
                        default -> stop;
                    };
                    if (!text.isEmpty() && stream) {
                        say(
                                out,
                                "content_block_delta",
                                ",\"index\":0,\"delta\":{\"type\":\"text_delta\",\"text\":" + quoted(text) + "}");
                    } else {
                        whole.append(text);
                    }
                }
                ConfigurationObject usage = f.object("usage");
                read = (long) usage.number("prompt_tokens", (double) read);
                made = (long) usage.number("completion_tokens", (double) made);
                kept = Math.min(
                        read, (long) usage.object("prompt_tokens_details").number("cached_tokens", (double) kept));
            } catch (IOException | ConfigurationException e) {
                // An event that is none of ours says nothing in this dialect; the engines' side counts it.
                return;
            }
        }

        @Override
        public void end(HttpWriter out, boolean close) {
            if (!stream) {
                HttpResponses.append(
                        out,
                        200,
                        "application/json",
                        message("{\"type\":\"text\",\"text\":" + quoted(whole.toString()) + "}", quoted(stop))
                                .getBytes(StandardCharsets.UTF_8),
                        close);
                return;
            }
            say(out, "content_block_stop", ",\"index\":0");
            say(
                    out,
                    "message_delta",
                    ",\"delta\":{\"stop_reason\":" + quoted(stop) + ",\"stop_sequence\":null},\"usage\":" + usage());
            say(out, "message_stop", "");
            out.appendLastChunk();
        }

        @Override
        public boolean saved(HttpWriter out, boolean close) {
            if (finished) {
                end(out, close);
            }
            return finished;
        }

        @Override
        public boolean alive(HttpWriter out) {
            if (stream) {
                say(out, "ping", "");
            }
            return stream;
        }

        @Override
        public void broken(HttpWriter out, byte[] error) {
            String why = error == null ? "the stream broke" : "the engine failed: " + reason(error);
            if (stream) {
                out.appendChunk(("event: error\ndata: " + error(500, why) + "\n\n").getBytes(StandardCharsets.UTF_8));
            } else {
                MessagesProtocol.this.error(out, 500, why, 0, true);
            }
        }

        private static String reason(byte[] error) {
            try {
                return ConfigurationObject.parse(ProtocolAdapter.data(error).getBytes(StandardCharsets.UTF_8), "event")
                        .object("error")
                        .text("message", "no reason given");
            } catch (IOException | ConfigurationException e) {
                return "no reason given";
            }
        }

        @Override
        public void refused(HttpWriter out, long retryAfter, boolean close) {
            error(out, 503, "refused", retryAfter, close);
        }

        @Override
        public void failed(HttpWriter out, String why, boolean close) {
            error(out, 504, why, 0, close);
        }
    }
}
