package magpiehub.discovery;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Escapes texts for the path or the query of a request's target. */
final class PercentEncoding {
    private PercentEncoding() {}

    /** A text with all that a URL may not hold escaped; a blank becomes {@code %20}, which paths understand, too. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
