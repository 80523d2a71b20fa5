package magpiehub.registry;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import magpiehub.config.Config;
import magpiehub.core.Contract.Server;
import magpiehub.core.Contract.State;

/**
 * What the fields of an entry mean: the discovery page's names, which entries in other registries have too.
 * It owns the words for phases and the two clocks of a start. It must never guess at an entry that other
 * routers could read otherwise: {@link #strict} reading says what is wrong and leaves the rest of the list
 * alone.
 */
final class Entries implements Config.Names {
    private final Config.Site site;
    /** Monotonic time less Unix time (us), taken once: entries told twice must give the same start. */
    private final long offset;
    private final boolean strict;

    private Entries(Config.Site site, long offset, boolean strict) {
        this.site = site;
        this.offset = offset;
        this.strict = strict;
    }

    /** Entries as the platform tells them, believed as they stand; {@code now} is monotonic (us). */
    static Entries platform(Config.Site site, long now) {
        return new Entries(site, now - System.currentTimeMillis() * 1000, false);
    }

    /** Entries that people and scripts write: each is checked by itself. */
    static Entries strict(Config.Site site, long now) {
        return new Entries(site, now - System.currentTimeMillis() * 1000, true);
    }

    /**
     * One entry as a JSON text, for example
     * {@code {"id":"s-1","host_port":"10.1.0.18:8080","locality":"a","phase":"Ready","size":1.0}}.
     *
     * @param name the id where the text gives none
     * @throws Config.Malformed saying which field is wrong
     */
    Config.Entry read(byte[] json, String name) throws IOException {
        if (json.length > 64 * 1024) {
            throw new Config.Malformed("larger than 64 KiB");
        }
        // Decoding first: a parser on bytes lets through what is no UTF-8 in places that it skips.
        String text = java.nio.charset.StandardCharsets.UTF_8.newDecoder()
                .decode(java.nio.ByteBuffer.wrap(json)).toString();
        try (JsonParser p = Config.JSON.createParser(text)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new Config.Malformed("must be an object");
            }
            Config.Facts f = new Config.Facts(Config.object(p), "entry");
            if (p.nextToken() != null) {
                throw new Config.Malformed("holds more than one value");
            }
            return of(f, name);
        }
    }

    /** An entry out of its fields. */
    Config.Entry of(Config.Facts f, String name) {
        String id = f.text("id", name);
        if (id == null || id.isEmpty() || id.length() > 256) {
            throw new Config.Malformed("id is missing or too long");
        }
        String address = f.text("host_port", null);
        if (address == null) {
            throw new Config.Malformed("host_port is missing");
        }
        Config.address(address);
        double size = f.number("size", 1);
        if (!(size > 0) || size > 1e6) {
            throw new Config.Malformed("size must be above 0");
        }
        String phase = f.text("phase", "Ready");
        return new Config.Entry(new Server(id, place(f, "locality"), place(f, "flavor"),
                (int) f.number("cell", 0), state(phase), size, since(f.number("up_since_ms", 0))), address);
    }

    /** A zone's or a kind's number, by its name or as a number; 0 where the entry does not say. */
    private int place(Config.Facts f, String field) {
        Object v = f.map().get(field);
        java.util.List<String> all = field.equals("locality") ? site.zones() : site.kinds();
        if (v == null || v instanceof String s && s.isEmpty()) {
            return 0;
        }
        int i = v instanceof Double d ? d.intValue() : all.indexOf(f.text(field, ""));
        if (i < 0 || i >= Math.max(1, all.size())) {
            throw new Config.Malformed(field + " is none of " + all + ": " + v);
        }
        return i;
    }

    @Override
    public String field(String name) {
        return switch (name) {
            case "id" -> "id";
            case "host_port" -> "address";
            case "locality" -> "zone";
            case "flavor" -> "kind";
            case "cell" -> "cell";
            case "phase" -> "state";
            case "size" -> "weight";
            case "up_since_ms" -> "since";
            default -> null;
        };
    }

    @Override
    public int number(String field, JsonParser p) throws IOException {
        if (p.currentToken().isNumeric()) {
            return p.getIntValue();
        }
        return (field.equals("zone") ? site.zones() : site.kinds()).indexOf(Config.text(p, field));
    }

    @Override
    public State state(String word) {
        return switch (word) {
            case "Ready" -> State.LIVE;
            case "Terminating" -> State.DRAINING;
            case "Gone" -> State.DEAD;
            default -> {
                if (strict) {
                    throw new Config.Malformed("phase is none of Ready, Terminating, Gone: " + word);
                }
                // Guards against sending work to an engine in a phase that this program does not know.
                yield State.DRAINING;
            }
        };
    }

    @Override
    public long since(double ms) {
        return ms <= 0 ? 0 : Math.max(1, Math.round(ms * 1000) + offset);
    }

    /** The inverse of {@link #of}, for a list kept on disk. */
    Map<String, Object> write(Config.Entry e) {
        Server s = e.server();
        Map<String, Object> m = new java.util.LinkedHashMap<>();
        m.put("id", s.id());
        m.put("host_port", e.address());
        m.put("locality", s.zone() < site.zones().size() ? site.zones().get(s.zone()) : (double) s.zone());
        m.put("flavor", s.kind() < site.kinds().size() ? site.kinds().get(s.kind()) : (double) s.kind());
        m.put("cell", (double) s.cell());
        m.put("phase", s.state() == State.LIVE ? "Ready" : "Terminating");
        m.put("size", s.weight());
        m.put("up_since_ms", s.onlineSince() == 0 ? 0.0 : (double) ((s.onlineSince() - offset) / 1000));
        return m;
    }
}
