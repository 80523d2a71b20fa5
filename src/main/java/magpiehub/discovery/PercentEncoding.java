package magpiehub.discovery;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Percent-encodes text for the path or the query of a request target. */
final class PercentEncoding {
    private PercentEncoding() {}

    /** Encodes all reserved characters; a space becomes {@code %20}, which is valid in both paths and queries. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
