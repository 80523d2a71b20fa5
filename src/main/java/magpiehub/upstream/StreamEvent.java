package magpiehub.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.protocol.ServerSentEvents;

/**
 * What one event of an engine's stream tells the router: an error, the tokens found in the engine's cache, or
 * the end. An event is the bytes between two empty lines, and passes on to the client as it came.
 */
final class StreamEvent {
    /** The most of an event that is logged (bytes). */
    private static final int MOST_LOGGED = 120;

    private StreamEvent() {}

    private static boolean contains(byte[] b, String word) {
        int n = word.length();
        outer:
        for (int i = 0; i + n <= b.length; i++) {
            for (int j = 0; j < n; j++) {
                if (b[i + j] != word.charAt(j)) {
                    continue outer;
                }
            }
            return true;
        }
        return false;
    }

    /** An error told inside a stream: its name says so, or its data is an object that begins with one. */
    static boolean isError(byte[] event) {
        if (!contains(event, "error")) {
            return false;
        }
        String text = new String(event, StandardCharsets.UTF_8);
        return text.startsWith("event: error")
                || text.contains("\nevent: error")
                || ServerSentEvents.data(event).replace(" ", "").startsWith("{\"error\"");
    }

    /** An event of the engines' dialect, or a comment. */
    static boolean known(byte[] event) {
        return event.length == 0
                || event[0] == ':'
                || contains(event, "\"choices\"")
                || ServerSentEvents.data(event).equals("[DONE]");
    }

    /** Prompt tokens found kept, where the event tells it; else -1. */
    static long kept(byte[] event) {
        if (!contains(event, "\"cached_tokens\"")) {
            return -1;
        }
        try {
            return (long)
                    ConfigurationObject.parse(ServerSentEvents.data(event).getBytes(StandardCharsets.UTF_8), "event")
                            .object("usage")
                            .object("prompt_tokens_details")
                            .number("cached_tokens", -1);
        } catch (IOException | ConfigurationException e) {
            return -1; // An answer's text may hold the word too.
        }
    }

    /** The event's beginning, for the log. */
    static String brief(byte[] event) {
        return new String(event, 0, Math.min(event.length, MOST_LOGGED), StandardCharsets.UTF_8).strip();
    }
}
