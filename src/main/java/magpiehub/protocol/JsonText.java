package magpiehub.protocol;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Writes JSON texts. */
final class JsonText {
    private JsonText() {}

    /** A text as a JSON value, in quotes and escaped. */
    static String quote(String text) {
        return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
    }
}
