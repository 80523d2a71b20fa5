package magpiehub.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Supplier;
import magpiehub.config.Json;
import magpiehub.config.SiteSettings;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpSyntax;
import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;

/**
 * The platform's own protocol: its headers in the module's terms, and the engine's events passed on as they
 * are. It owns the header names. It must never change a byte of an event or of what engines are sent.
 */
public final class PlatformProtocol implements ProtocolAdapter {
    /** What the router itself reads or says anew, and the codings that a client takes: the router reads the
     *  events that it passes on. Engines get everything else that a client says of its request, such as the
     *  key by which they drop repeats. In lower case. */
    private static final Set<String> OWN_HEADERS = Set.of(
            "accept-encoding",
            "content-type",
            "x-call-id",
            "x-call-class",
            "x-caller",
            "x-route-hash",
            "x-budget-ms",
            "x-call-info",
            "x-call-cost",
            "x-again");

    static final String PATH = "/v1/chat/completions";
    private static final int WARM_ROUNDS = 60;
    private final Supplier<SiteSettings> site;

    public PlatformProtocol(Supplier<SiteSettings> site) {
        this.site = site;
    }

    @Override
    public Call read(HttpHead head, byte[] body, long at) throws HttpException {
        String target = posted(head, PATH);
        checkJson(body);
        return new Passed(
                request(site.get(), head, at),
                target,
                head.headers().endToEndLines(name -> !OWN_HEADERS.contains(name)),
                body);
    }

    /** The target of a request that a front takes: a POST to its path, with a query or without. */
    static String posted(HttpHead head, String path) throws HttpException {
        String target = head.target();
        if (!target.equals(path) && !target.startsWith(path + "?")) {
            throw new HttpException(404, "no such path");
        }
        if (!head.method().equals("POST")) {
            throw new HttpException(405, "POST only");
        }
        return target;
    }

    /** Reads and passes on a made-up exchange until the code for it is compiled: the first clients are not
     *  to wait for that. Nothing of it is kept. */
    public void warm() throws IOException {
        byte[] request = ("POST " + PATH + " HTTP/1.1\r\nHost: warm\r\nX-Call-Id: 0\r\nX-Call-Class: "
                        + site.get().routing().classes().get(0).name() + "\r\n"
                        + "X-Caller: warm\r\nX-Route-Hash: 7f\r\nX-Budget-Ms: 1\r\n"
                        + "X-Call-Info: prefix=5c,prompt_len=9\r\n"
                        + "Content-Length: 8192\r\n\r\n{\"stream\":true,\"messages\":\"" + "x".repeat(8163) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        String event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";
        byte[] answer = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").repeat(20) + "0\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
        HttpWriter out = new HttpWriter();
        for (int i = 0; i < WARM_ROUNDS; i++) {
            HttpReader in = new HttpReader(new ByteArrayInputStream(request), () -> 0);
            in.awaitMessage();
            Call c;
            try {
                HttpHead head = in.readRequestHead();
                c = read(head, in.readBody(head), 0);
            } catch (HttpException e) {
                return; // A class that no header can name, which no client can ask for either.
            }
            HttpReader from = new HttpReader(new ByteArrayInputStream(answer), () -> 0);
            from.awaitMessage();
            c.begin(out, false);
            try {
                from.readEvents(from.readResponseHead(), e -> c.event(out, e));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            c.end(out, false);
            out.take();
        }
    }

    /** The request that the platform's headers describe. */
    static RoutingRequest request(SiteSettings site, HttpHead head, long at) throws HttpException {
        String id = id(need(head, "X-Call-Id"));
        long budget = budget(need(head, "X-Budget-Ms"));
        String tenant = name(head.headers().getSingle("X-Caller"));
        String route = head.headers().getSingle("X-Route-Hash");
        long prefix = 0;
        double[] lengths = new double[3];
        String info = head.headers().getSingle("X-Call-Info");
        for (String part : info == null || info.isBlank() ? new String[0] : info.split(",")) {
            int eq = part.indexOf('=');
            String name = eq < 0 ? "" : part.substring(0, eq).strip();
            String value = part.substring(eq + 1).strip();
            switch (name) {
                case "prefix" -> prefix = whole(value, 16, "X-Call-Info");
                case "prompt_len" -> lengths[0] = whole(value, 10, "X-Call-Info");
                case "prefix_len" -> lengths[1] = whole(value, 10, "X-Call-Info");
                case "max_out" -> lengths[2] = whole(value, 10, "X-Call-Info");
                default -> {
                    if (eq <= 0) {
                        throw new HttpException(400, "malformed X-Call-Info");
                    }
                }
            }
        }
        String again = head.headers().get("X-Again");
        return new RoutingRequest(
                id,
                cls(site, name(need(head, "X-Call-Class"))),
                tenant == null ? -1 : site.tenantIndex(tenant),
                route == null ? 0 : whole(route, 16, "X-Route-Hash"),
                prefix,
                at + budget,
                cost(head.headers().get("X-Call-Cost")),
                lengths[0],
                lengths[1],
                lengths[2],
                "1".equals(again),
                false,
                "again".equals(again));
    }

    /** The client's estimate of the work, in milliseconds; 0 where there is none that can be read. */
    private static double cost(String micros) {
        String s = micros == null ? "" : micros.strip();
        return s.length() <= 15 && HttpSyntax.isDigits(s) ? Long.parseLong(s) / 1000.0 : 0;
    }

    /** A class that there is: the module is never asked to judge another. */
    static int cls(SiteSettings site, String name) throws HttpException {
        int c = site.classIndex(name);
        if (c < 0) {
            throw new HttpException(400, "no such class");
        }
        return c;
    }

    /** A header's value as the settings spell names: heads are read as bytes, one character each, and names
     *  in them are UTF-8. What is not UTF-8 stays as it was read, and null stays null. */
    static String name(String value) {
        if (value == null || value.chars().allMatch(c -> c < 0x80)) {
            return value;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1)))
                    .toString();
        } catch (CharacterCodingException e) {
            return value;
        }
    }

    static String id(String id) throws HttpException {
        if (id.isEmpty() || id.length() > 64 || !id.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new HttpException(400, "malformed X-Call-Id");
        }
        return id;
    }

    /** How long the client waits (us). */
    static long budget(String ms) throws HttpException {
        long budget = whole(ms, 10, "X-Budget-Ms");
        if (budget > 86_400_000) {
            throw new HttpException(400, "malformed X-Budget-Ms");
        }
        return budget * 1000;
    }

    private static String need(HttpHead head, String name) throws HttpException {
        String v = head.headers().getSingle(name);
        if (v == null) {
            throw new HttpException(400, name + " is missing");
        }
        return v;
    }

    /** A number without a sign: ids in hexadecimal may use all 64 bits. */
    static long whole(String s, int radix, String what) throws HttpException {
        try {
            if (!s.isEmpty() && Character.digit(s.charAt(0), radix) >= 0) {
                long v = Long.parseUnsignedLong(s, radix);
                if (radix == 16 || v >= 0) {
                    return v;
                }
            }
        } catch (NumberFormatException e) {
            // Falls through to the one complaint.
        }
        throw new HttpException(400, "malformed " + what);
    }

    /** Guards against sending engines what they can't read, which would look like an engine's fault. */
    static void checkJson(byte[] body) throws HttpException {
        try (JsonParser p = Json.FACTORY.createParser(body)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new HttpException(400, "body is no JSON object");
            }
            p.skipChildren();
            if (p.currentToken() != JsonToken.END_OBJECT || p.nextToken() != null) {
                throw new HttpException(400, "body is no single JSON object");
            }
        } catch (HttpException e) {
            throw e;
        } catch (JsonProcessingException e) {
            throw new HttpException(400, "body is no JSON");
        } catch (IOException e) {
            throw new HttpException(400, "body is unreadable");
        }
    }

    @Override
    public void error(HttpWriter out, int status, String why, long retryAfter, boolean close) {
        String body = "{\"error\":{\"message\":\"" + why + "\",\"code\":" + status + "}}\n";
        HttpResponses.appendError(out, status, body, retryAfter, close);
    }

    private final class Passed extends Call {
        Passed(RoutingRequest request, String target, byte[] headers, byte[] body) {
            super(request, target, headers, body);
        }

        @Override
        public void begin(HttpWriter out, boolean close) {
            HttpResponses.appendEventStreamHead(out, close);
        }

        @Override
        public void event(HttpWriter out, byte[] event) {
            out.appendChunk(event);
        }

        @Override
        public void end(HttpWriter out, boolean close) {
            out.appendLastChunk();
        }

        @Override
        public void broken(HttpWriter out, byte[] error) {
            if (error != null) {
                out.appendChunk(error);
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
