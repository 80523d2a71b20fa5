package magpiehub.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.protocol.ServerSentEvents;

/**
 * Determines from the events of one response stream whether it has been sent to its end. Recognizes the ends of the
 * chat completions protocol: {@code [DONE]}, a finish reason, and the usage behind the choices. Not thread-safe.
 */
final class StreamEndDetector {
    private static final String DONE = "[DONE]";
    private static final String FINISH_REASON_KEY = "\"finish_reason\"";

    private boolean hasData;
    /** Whether a choice has told that it has no finish reason yet. */
    private boolean hasOpenChoice;

    private boolean isFinished;
    private boolean isDone;
    private byte[] lastEvent;

    /** Prepares for the next stream. */
    void reset() {
        hasData = false;
        hasOpenChoice = false;
        isFinished = false;
        isDone = false;
        lastEvent = null;
    }

    /** Records the next event or comment of the stream. */
    void record(byte[] event) {
        hasData |= !StreamEvent.isComment(event);
        recordFinishReasons(event);
        isFinished |= isUsageBehindChoices(event);
        isDone |= isDone(event);
        lastEvent = event;
    }

    /** What the events so far say about the stream's end. */
    StreamEnd end() {
        if (isDone) {
            return StreamEnd.DONE;
        }
        if (!hasData || isTruncated(lastEvent)) {
            return StreamEnd.MISSING;
        }
        if (isFinished) {
            return StreamEnd.FINISHED;
        }
        return hasOpenChoice ? StreamEnd.MISSING : StreamEnd.UNKNOWN;
    }

    private static boolean isDone(byte[] event) {
        return StreamEvent.contains(event, DONE) && ServerSentEvents.hasDataLine(event, DONE);
    }

    /** Reads the finish reasons. Generated text can't hold the key, since its quotes would be escaped. */
    private void recordFinishReasons(byte[] event) {
        int key = StreamEvent.indexOf(event, FINISH_REASON_KEY, 0);
        while (key >= 0) {
            int colon = skipSpaces(event, key + FINISH_REASON_KEY.length());
            if (byteAt(event, colon) == ':') {
                int value = skipSpaces(event, colon + 1);
                // The empty text, like null, stands for no reason yet.
                boolean finished = byteAt(event, value) == '"' && byteAt(event, value + 1) != '"';
                isFinished |= finished;
                hasOpenChoice |= !finished;
            }
            key = StreamEvent.indexOf(event, FINISH_REASON_KEY, key + 1);
        }
    }

    private static int skipSpaces(byte[] event, int start) {
        int position = start;
        while (byteAt(event, position) == ' ') {
            position++;
        }
        return position;
    }

    private static int byteAt(byte[] event, int position) {
        return position < event.length ? event[position] : -1;
    }

    private static boolean isUsageBehindChoices(byte[] event) {
        if (!StreamEvent.contains(event, "\"usage\"")) {
            return false;
        }
        try {
            ConfigurationObject data = parseData(event);
            return data.map().get("usage") != null && data.objects("choices").isEmpty();
        } catch (IOException | ConfigurationException e) {
            return false; // The generated text may contain the keyword too.
        }
    }

    /** Whether the body has ended inside this event: its last line has no end, and its JSON data is incomplete. */
    private static boolean isTruncated(byte[] event) {
        byte lastByte = event[event.length - 1];
        if (lastByte == '\n' || lastByte == '\r' || StreamEvent.isComment(event)) {
            return false;
        }
        String data = data(event);
        if (data.startsWith("[")) {
            return DONE.startsWith(data);
        }
        if (!data.startsWith("{")) {
            return false;
        }
        try {
            parseData(event);
            return false;
        } catch (IOException | ConfigurationException e) {
            return true;
        }
    }

    private static ConfigurationObject parseData(byte[] event) throws IOException {
        return ConfigurationObject.parse(data(event).getBytes(StandardCharsets.UTF_8), "event");
    }

    /** The data of an event, or the body of a response that is one JSON object instead of events. */
    private static String data(byte[] event) {
        return event[0] == '{' ? new String(event, StandardCharsets.UTF_8) : ServerSentEvents.data(event);
    }
}
