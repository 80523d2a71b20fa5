package magpiehub.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.protocol.ServerSentEvents;

/**
 * Reads the parts of an upstream's server-sent events that the router needs. An event is the bytes between two empty
 * lines and is forwarded to the client unchanged. Most events contain nothing that the router needs, so the bytes are
 * searched for a keyword before anything is decoded.
 */
final class StreamEvent {
    /** Maximum number of bytes of an event that are logged. */
    private static final int MAX_LOGGED_BYTES = 120;

    private StreamEvent() {}

    /** Whether the event reports an error, by its name or by an {@code error} member at the start of its data. */
    static boolean isError(byte[] event) {
        if (!contains(event, "error")) {
            return false;
        }
        String text = new String(event, StandardCharsets.UTF_8);
        return text.startsWith("event: error")
                || text.contains("\nevent: error")
                || ServerSentEvents.data(event).replace(" ", "").startsWith("{\"error\"");
    }

    /** Whether it is a comment or an event of the chat completions protocol. */
    static boolean isKnown(byte[] event) {
        return event.length == 0
                || isComment(event)
                || contains(event, "\"choices\"")
                || ServerSentEvents.data(event).equals("[DONE]");
    }

    /** Whether the event, which must not be empty, begins with a comment. */
    static boolean isComment(byte[] event) {
        return event[0] == ':';
    }

    /** The number of prompt tokens from the upstream's cache, or {@link RequestDispatcher#CACHED_TOKENS_UNKNOWN}. */
    static long cachedTokens(byte[] event) {
        if (!contains(event, "\"cached_tokens\"")) {
            return RequestDispatcher.CACHED_TOKENS_UNKNOWN;
        }
        try {
            byte[] data = ServerSentEvents.data(event).getBytes(StandardCharsets.UTF_8);
            return (long) ConfigurationObject.parse(data, "event")
                    .object("usage")
                    .object("prompt_tokens_details")
                    .number("cached_tokens", RequestDispatcher.CACHED_TOKENS_UNKNOWN);
        } catch (IOException | ConfigurationException e) {
            return RequestDispatcher.CACHED_TOKENS_UNKNOWN; // The generated text may contain the keyword too.
        }
    }

    /** The beginning of the event, shortened for the log. */
    static String excerpt(byte[] event) {
        return new String(event, 0, Math.min(event.length, MAX_LOGGED_BYTES), StandardCharsets.UTF_8).strip();
    }

    /** Whether the bytes of an ASCII word occur in the event. */
    static boolean contains(byte[] event, String word) {
        return indexOf(event, word, 0) >= 0;
    }

    /** The first position from {@code from} at which the bytes of an ASCII word occur in the event, or -1. */
    static int indexOf(byte[] event, String word, int from) {
        for (int start = from; start + word.length() <= event.length; start++) {
            if (hasWordAt(event, start, word)) {
                return start;
            }
        }
        return -1;
    }

    private static boolean hasWordAt(byte[] event, int start, String word) {
        for (int i = 0; i < word.length(); i++) {
            if (event[start + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }
}
