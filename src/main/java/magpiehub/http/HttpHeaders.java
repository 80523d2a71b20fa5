package magpiehub.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/** The headers of a message, in the order in which they were received. Names are case-insensitive. */
public final class HttpHeaders {
    /**
     * Headers that are not forwarded: they describe one connection, the framing of one message (RFC 9110, section
     * 7.6.1), or its receiver.
     */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    HttpHeaders() {}

    void add(String name, String value) {
        names.add(name);
        values.add(value);
    }

    int size() {
        return names.size();
    }

    /** The number of headers with a name. */
    int count(String name) {
        int count = 0;
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }

    /** The value of the first header with a name; null if there is none. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /**
     * The value of a header that may occur only once; null if there is none. A repeated header is answered with status
     * 400, because implementations differ in which of the values they use.
     */
    public String getSingle(String name) throws HttpException {
        if (count(name) > 1) {
            throw new HttpException(400, name + " stands twice");
        }
        return get(name);
    }

    /** Whether one of the headers with a name, each a comma-separated list, contains a token. */
    public boolean containsToken(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name) && listContains(values.get(i), token)) {
                return true;
            }
        }
        return false;
    }

    private static boolean listContains(String list, String token) {
        for (String element : list.split(",")) {
            if (element.strip().equalsIgnoreCase(token)) {
                return true;
            }
        }
        return false;
    }

    /**
     * The lines, as received, of the headers that a proxy forwards: those that a filter accepts, without hop-by-hop
     * headers.
     *
     * @param filter is called with names in lower case
     */
    public byte[] endToEndLines(Predicate<String> filter) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i).toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !containsToken("Connection", name) && filter.test(name)) {
                lines.append(names.get(i)).append(": ").append(values.get(i)).append("\r\n");
            }
        }
        return lines.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
