package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import magpiehub.config.Config;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.http.Http;

/**
 * etcd's v3 interface through its JSON gateway, as etcd's documentation and its {@code rpc.proto} describe it
 * (versions 3.4 and later): {@code /v3/kv/range} in pages at one revision; {@code /v3/watch} from a revision,
 * with created and cancelled answers, {@code compact_revision}, progress notices and fragments;
 * {@code /v3/auth/authenticate} by name and password, with a token that may expire. 64-bit numbers are taken
 * as texts or numbers, absent ones as 0; keys and values are Base64. Reads are linearizable: an answer is
 * never older than what the cluster had promised when it was asked.
 *
 * <p>A value is one engine in discovery's form; the key's last part is its id where the value names none.
 * What a watch tells is passed on revision by revision: fragments are put together first. It must never take
 * the revision in the header of an answer with events for a position: an answer may leave out later events.
 */
final class EtcdProtocol implements RegistryProtocol {
    /** A failure that etcd or its gateway names. */
    static final class Failure extends RegistryErrorException {
        private static final long serialVersionUID = 1L;
        final int code;

        Failure(int code, String message) {
            super(message);
            this.code = code;
        }
    }

    private static final int OUT_OF_RANGE = 11;
    private static final int UNAUTHENTICATED = 16;
    /** Guards against a list that is compacted under each reading: the call ends, and another is made. */
    private static final int MOST_RESTARTS = 3;

    /** Keys by which a past is known again. */
    private static final int COMPARED = 16;

    private record Login(String user, String password) {}

    private final byte[] from;
    private final byte[] to;
    private final int prefixLength;
    private final int page;
    private final Entries entries;
    private final Login login;
    private volatile String token;

    /** A driver for the keys under a prefix; {@code user} is null where the cluster asks for no login. */
    EtcdProtocol(String prefix, int page, String user, String password, Entries entries) {
        from = prefix.getBytes(StandardCharsets.UTF_8);
        prefixLength = prefix.length();
        to = rangeEnd(from);
        this.page = page;
        this.entries = entries;
        login = user == null ? null : new Login(user, password);
    }

    /** The first key behind all keys with a prefix: the prefix with its last byte below 0xff made one more.
     *  */
    static byte[] rangeEnd(byte[] prefix) {
        for (int i = prefix.length - 1; i >= 0; i--) {
            if (prefix[i] != (byte) 0xff) {
                byte[] end = Arrays.copyOf(prefix, i + 1);
                end[i]++;
                return end;
            }
        }
        return new byte[] {0};
    }

    @Override
    public boolean watchReturnsCompleteList() {
        return false;
    }

    @Override
    public long maxQuietMicros() {
        return Long.MAX_VALUE;
    }

    // ---- Calls ----------------------------------------------------------------------------------------
    /** Makes a call, with a login before it where one is due; a token that has expired is fetched anew once.
     *  */
    Http.Head call(RegistryConnection w, String path, byte[] body) throws IOException {
        for (int i = 0; ; i++) {
            String t = token;
            if (login != null && t == null) {
                t = authenticate(w);
            }
            try {
                return w.send("POST", path, body, 0, "Authorization", t);
            } catch (HttpStatusException e) {
                Failure f = failure(e);
                if (login == null
                        || i > 0
                        || w.isClosed()
                        || (e.statusCode() != 401 && (f == null || f.code != UNAUTHENTICATED))) {
                    throw f != null && f.code == OUT_OF_RANGE ? f : e;
                }
                token = null;
            }
        }
    }

    private String authenticate(RegistryConnection w) throws IOException {
        Http.Head h = w.send(
                "POST",
                "/v3/auth/authenticate",
                JsonObjects.toBytes(g -> {
                    g.writeStringField("name", login.user);
                    g.writeStringField("password", login.password);
                }),
                0);
        String[] t = new String[1];
        JsonObjects.read(w.body(h), (p, name) -> {
            if (name.equals("token")) {
                t[0] = p.getValueAsString();
            } else {
                p.skipChildren();
            }
        });
        if (t[0] == null || t[0].isEmpty() || t[0].chars().anyMatch(c -> c <= ' ' || c >= 0x7f)) {
            throw new Failure(UNAUTHENTICATED, "the login gave no token");
        }
        token = t[0];
        return t[0];
    }

    /** What the gateway says of a failed call: {@code {"error":"...","code":11,"message":"..."}}. */
    private static Failure failure(HttpStatusException e) {
        String text = e.getMessage();
        int brace = text.indexOf('{');
        if (brace < 0) {
            return null;
        }
        try {
            ConfigurationObject f = Config.facts(text.substring(brace).getBytes(StandardCharsets.UTF_8), "error");
            return new Failure((int) f.number("code", 0), f.text("message", f.text("error", "")));
        } catch (IOException | RuntimeException x) {
            return null;
        }
    }

    // ---- Answers --------------------------------------------------------------------------------------
    private static View.Position header(JsonParser p) throws IOException {
        long[] n = new long[3];
        JsonObjects.forEachMember(p, (q, name) -> {
            switch (name) {
                case "cluster_id" -> n[0] = JsonObjects.readUnsignedLong(q);
                case "raft_term" -> n[1] = JsonObjects.readUnsignedLong(q);
                case "revision" -> n[2] = JsonObjects.readUnsignedLong(q);
                default -> q.skipChildren();
            }
        });
        return new View.Position(Long.toHexString(n[0]), n[1], n[2]);
    }

    /** One key and its value. */
    private static final class KeyValue {
        byte[] key = {};
        byte[] value = {};
        long mod;

        static KeyValue read(JsonParser p) throws IOException {
            KeyValue kv = new KeyValue();
            JsonObjects.forEachMember(p, (q, name) -> {
                switch (name) {
                    case "key" -> kv.key = q.getBinaryValue();
                    case "value" -> kv.value = q.getBinaryValue();
                    case "mod_revision" -> kv.mod = JsonObjects.readUnsignedLong(q);
                    default -> q.skipChildren();
                }
            });
            return kv;
        }
    }

    private View.Item item(KeyValue kv, boolean removed) {
        String key = new String(kv.key, StandardCharsets.UTF_8);
        if (removed) {
            return View.Item.removed(key, kv.mod);
        }
        try {
            String id = key.length() > prefixLength ? key.substring(prefixLength) : null;
            return View.Item.read(key, kv.mod, entries.read(kv.value, id));
        } catch (IOException | RuntimeException e) {
            return View.Item.unreadable(key, kv.mod, JsonObjects.describe(e));
        }
    }

    private static final class Page {
        View.Position header = View.Position.NONE;
        final List<KeyValue> kvs = new ArrayList<>();
        boolean more;
        long count;
    }

    private Page range(RegistryConnection w, JsonObjects.MemberWriter request) throws IOException {
        Page page = new Page();
        JsonObjects.read(w.body(call(w, "/v3/kv/range", JsonObjects.toBytes(request))), (p, name) -> {
            switch (name) {
                case "header" -> page.header = header(p);
                case "kvs" -> JsonObjects.forEachObject(p, q -> page.kvs.add(KeyValue.read(q)));
                case "more" -> page.more = p.getValueAsBoolean();
                case "count" -> page.count = JsonObjects.readUnsignedLong(p);
                default -> p.skipChildren();
            }
        });
        if (page.header.number() <= 0) {
            throw new ConfigurationException("an answer without a revision");
        }
        return page;
    }

    @Override
    public void readList(RegistryConnection w, RegistryEventListener sink) throws IOException, InterruptedException {
        for (int restarts = 0; ; restarts++) {
            try {
                listOnce(w, sink);
                return;
            } catch (Failure e) {
                // The revision of the first page was compacted before the last page was read.
                if (e.code != OUT_OF_RANGE || restarts >= MOST_RESTARTS) {
                    throw e;
                }
            }
        }
    }

    private void listOnce(RegistryConnection w, RegistryEventListener sink) throws IOException, InterruptedException {
        List<View.Item> items = new ArrayList<>();
        byte[] key = from;
        View.Position at = null;
        while (true) {
            byte[] start = key;
            long revision = at == null ? 0 : at.number();
            Page p = range(w, g -> {
                g.writeBinaryField("key", start);
                g.writeBinaryField("range_end", to);
                g.writeNumberField("limit", page);
                if (revision > 0) {
                    g.writeStringField("revision", Long.toString(revision));
                }
            });
            if (at != null && !at.history().equals(p.header.history())) {
                throw new ConfigurationException("the pages of one list are of two clusters");
            }
            at = at == null ? p.header : at;
            for (KeyValue kv : p.kvs) {
                items.add(item(kv, false));
            }
            if (!p.more || p.kvs.isEmpty()) {
                sink.onCompleteList(at, items);
                return;
            }
            byte[] last = p.kvs.get(p.kvs.size() - 1).key;
            key = Arrays.copyOf(last, last.length + 1);
        }
    }

    @Override
    public void checkPosition(RegistryConnection w, RegistryEventListener sink)
            throws IOException, InterruptedException {
        Page p = newest(w, 0);
        sink.onPositionChecked(p.header, p.kvs.isEmpty() ? 0 : p.kvs.get(0).mod, p.count);
    }

    /** The keys that had changed last by a revision, or the one that has now (0), and the count of all. */
    private Page newest(RegistryConnection w, long revision) throws IOException {
        return range(w, g -> {
            g.writeBinaryField("key", from);
            g.writeBinaryField("range_end", to);
            g.writeNumberField("limit", revision > 0 ? COMPARED : 1);
            g.writeStringField("sort_order", "DESCEND");
            g.writeStringField("sort_target", "MOD");
            if (revision > 0) {
                g.writeStringField("revision", Long.toString(revision));
            } else {
                g.writeBooleanField("keys_only", true);
            }
        });
    }

    // ---- The watch ------------------------------------------------------------------------------------
    /** One line of a watch. */
    private static final class Line {
        View.Position header = View.Position.NONE;
        boolean created;
        boolean canceled;
        boolean fragment;
        long compactRevision;
        String reason = "";
        Failure error;
        final List<KeyValue> puts = new ArrayList<>();
        final List<Boolean> removed = new ArrayList<>();
    }

    @Override
    public void watch(RegistryConnection w, View.Position after, RegistryEventListener sink)
            throws IOException, InterruptedException {
        // The answer is judged before what the watch tells; if it is another past, this call is no longer
        // heard.
        try {
            Page p = newest(w, after.number());
            List<View.Item> last = new ArrayList<>();
            for (KeyValue kv : p.kvs) {
                last.add(item(kv, false));
            }
            sink.onWatchResumed(p.header, last, p.count);
        } catch (Failure e) {
            if (e.code == OUT_OF_RANGE) {
                sink.onCompacted(e.getMessage());
            }
            throw e;
        }
        byte[] request = JsonObjects.toBytes(g -> {
            g.writeObjectFieldStart("create_request");
            g.writeBinaryField("key", from);
            g.writeBinaryField("range_end", to);
            g.writeStringField("start_revision", Long.toString(after.number() + 1));
            g.writeBooleanField("progress_notify", true);
            g.writeBooleanField("fragment", true);
            g.writeEndObject();
        });
        Http.Head h = call(w, "/v3/watch", request);
        List<View.Item> burst = new ArrayList<>();
        long[] newest = {0};
        w.readLines(h, bytes -> {
            if (bytes.length > 0) {
                line(parse(bytes), burst, newest, sink);
            }
        });
        throw new java.io.EOFException("the watch ended");
    }

    private static Line parse(byte[] bytes) throws IOException {
        Line l = new Line();
        try (JsonParser p = Config.JSON.createParser(bytes)) {
            p.nextToken();
            JsonObjects.forEachMember(p, (q, name) -> {
                switch (name) {
                    case "result" -> JsonObjects.forEachMember(q, (r, field) -> result(r, field, l));
                    case "error" -> {
                        ConfigurationObject f = new ConfigurationObject(Config.object(q), "error");
                        l.error = new Failure((int) f.number("grpc_code", f.number("code", 0)), f.text("message", ""));
                    }
                    default -> q.skipChildren();
                }
            });
        }
        return l;
    }

    private static void result(JsonParser p, String field, Line l) throws IOException {
        switch (field) {
            case "header" -> l.header = header(p);
            case "created" -> l.created = p.getValueAsBoolean();
            case "canceled" -> l.canceled = p.getValueAsBoolean();
            case "fragment" -> l.fragment = p.getValueAsBoolean();
            case "compact_revision" -> l.compactRevision = JsonObjects.readUnsignedLong(p);
            case "cancel_reason" -> l.reason = p.getValueAsString("");
            case "events" -> JsonObjects.forEachObject(p, q -> {
                boolean[] delete = new boolean[1];
                KeyValue[] kv = new KeyValue[1];
                JsonObjects.forEachMember(q, (r, name) -> {
                    switch (name) {
                            // The gateway leaves PUT out, which is 0; a number is the enumeration's.
                        case "type" -> delete[0] = r.currentToken() == JsonToken.VALUE_STRING
                                ? r.getText().equals("DELETE")
                                : r.getIntValue() == 1;
                        case "kv" -> kv[0] = KeyValue.read(r);
                        default -> r.skipChildren();
                    }
                });
                if (kv[0] == null || kv[0].mod <= 0) {
                    throw new ConfigurationException("an event without a key and its revision");
                }
                l.puts.add(kv[0]);
                l.removed.add(delete[0]);
            });
            default -> p.skipChildren();
        }
    }

    private void line(Line l, List<View.Item> burst, long[] newest, RegistryEventListener sink)
            throws IOException, InterruptedException {
        if (l.error != null) {
            if (l.error.code == UNAUTHENTICATED) {
                token = null;
            }
            throw l.error;
        }
        if (l.compactRevision > 0) {
            sink.onCompacted("oldest kept is " + l.compactRevision);
            throw new Failure(OUT_OF_RANGE, "compacted at " + l.compactRevision);
        }
        if (l.canceled) {
            if (l.reason.contains("auth token")) {
                token = null;
            }
            throw new Failure(0, "cancelled: " + l.reason);
        }
        if (l.created) {
            sink.onWatchOpened(l.header);
        }
        for (int i = 0; i < l.puts.size(); i++) {
            KeyValue kv = l.puts.get(i);
            newest[0] = Math.max(newest[0], kv.mod);
            burst.add(item(kv, l.removed.get(i)));
        }
        if (l.fragment) {
            // Half of a revision is no list that ever was.
            if (burst.size() > 1_000_000) {
                throw new ConfigurationException("fragments without end");
            }
            return;
        }
        if (!burst.isEmpty()) {
            View.Position to = new View.Position(l.header.history(), l.header.term(), newest[0]);
            sink.onChanges(to, List.copyOf(burst));
            burst.clear();
        } else if (!l.created) {
            // A progress notice: all events up to this revision have been told.
            sink.onChanges(l.header, List.of());
        }
    }
}
