package magpiehub.protocol;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Encodes JSON strings. */
final class JsonText {
    private JsonText() {}

    /** Returns the text as a quoted and escaped JSON string. */
    static String quote(String text) {
        return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
    }
}
