package magpiehub.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.SiteSettings;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpSyntax;

/** The platform's request headers: their names, and the parsing of their values. */
final class PlatformHeaders {
    static final String REQUEST_ID = "X-Call-Id";
    static final String CLASS = "X-Call-Class";
    static final String TENANT = "X-Caller";
    static final String SESSION_HASH = "X-Route-Hash";
    static final String TIMEOUT_MS = "X-Budget-Ms";
    static final String PROMPT_INFO = "X-Call-Info";
    static final String COST_MICROS = "X-Call-Cost";
    static final String RETRY = "X-Again";

    static final int DECIMAL = 10;
    static final int HEXADECIMAL = 16;

    private static final int MAX_ID_LENGTH = 64;
    /** One day; a longer timeout is rejected as malformed. */
    private static final long MAX_TIMEOUT_MS = 86_400_000;

    private static final long MICROS_PER_MILLI = 1000;
    /** Longer numbers are ignored; this many digits fit into a long, and no request costs more. */
    private static final int MAX_COST_DIGITS = 15;

    private PlatformHeaders() {}

    /** The value of a header that must occur exactly once. */
    static String require(HttpHead head, String name) throws HttpException {
        String value = head.headers().getSingle(name);
        if (value == null) {
            throw new HttpException(400, name + " is missing");
        }
        return value;
    }

    /**
     * Decodes a name to the spelling of the settings. Heads are read as ISO 8859-1, one character per byte, while names
     * are sent in UTF-8. A value that is not valid UTF-8 is returned unchanged, as is null.
     */
    static String decodeName(String value) {
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

    /** The index of a class, which must be in the settings, since routing supports no others. */
    static int requireClass(SiteSettings site, String name) throws HttpException {
        int index = site.classIndex(name);
        if (index < 0) {
            throw new HttpException(400, "no such class");
        }
        return index;
    }

    /** Checks that a request id is short and consists of visible ASCII characters. */
    static String requireId(String id) throws HttpException {
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH || !id.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new HttpException(400, "malformed " + REQUEST_ID);
        }
        return id;
    }

    /** Parses the client's timeout in milliseconds; returns it in microseconds. */
    static long parseTimeoutMicros(String millis) throws HttpException {
        long timeout = parseUnsigned(millis, DECIMAL, TIMEOUT_MS);
        if (timeout > MAX_TIMEOUT_MS) {
            throw new HttpException(400, "malformed " + TIMEOUT_MS);
        }
        return timeout * MICROS_PER_MILLI;
    }

    /** Parses the client's cost estimate in microseconds; returns it in milliseconds, or 0 if absent or malformed. */
    static double parseCostMillis(String micros) {
        String digits = micros == null ? "" : micros.strip();
        return digits.length() <= MAX_COST_DIGITS && HttpSyntax.isDigits(digits) ? Long.parseLong(digits) / 1000.0 : 0;
    }

    /**
     * Parses an unsigned number. Hexadecimal ids may use all 64 bits.
     *
     * @param header the header's name, for the error message
     */
    static long parseUnsigned(String text, int radix, String header) throws HttpException {
        try {
            if (!text.isEmpty() && Character.digit(text.charAt(0), radix) >= 0) {
                long value = Long.parseUnsignedLong(text, radix);
                if (radix == HEXADECIMAL || value >= 0) {
                    return value;
                }
            }
        } catch (NumberFormatException e) {
            // Reported below, like other malformed values.
        }
        throw new HttpException(400, "malformed " + header);
    }
}
