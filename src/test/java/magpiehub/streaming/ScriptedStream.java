package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import magpiehub.http.HttpWriter;

/** Writes streams of numbered events, and compares the bytes that a client received with those sent. */
final class ScriptedStream {
    /** The time between two events. */
    static final int EVENT_MS = 50;

    private static final int EVENTS = 80;
    private static final byte[] FINISH =
            ("data: {" + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n").getBytes(UTF_8);
    private static final byte[] USAGE =
            ("data: {" + "\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9}}\n\n").getBytes(UTF_8);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(UTF_8);
    private static final byte[] COMMENT = ": keep-alive\n\n".getBytes(UTF_8);

    private ScriptedStream() {}

    private static byte[] event(int number, int size) {
        String text = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + number + "." + "x".repeat(size)
                + "\"},\"finish_reason\":null}]}\n\n";
        return text.getBytes(UTF_8);
    }

    /** All events of the stream for a fault, as if the fault did not occur. */
    static List<byte[]> events(StreamFault fault) {
        int count =
                switch (fault) {
                    case LARGE_EVENTS -> 20;
                    case CLIENT_PAUSES, CLIENT_READS_SLOWLY, CLIENT_STOPS_READING -> 12;
                    case NONE -> EVENTS;
                    default -> 10;
                };
        int size =
                switch (fault) {
                    case LARGE_EVENTS -> 100_000;
                    case CLIENT_PAUSES -> 15_000;
                    case CLIENT_READS_SLOWLY, CLIENT_STOPS_READING -> 60_000;
                    default -> 40;
                };
        List<byte[]> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            events.add(event(i, size));
        }
        events.addAll(List.of(FINISH, USAGE, DONE));
        return events;
    }

    /**
     * Writes a stream up to the point of its fault.
     *
     * @return whether the response is to be ended with the last chunk
     */
    static boolean write(StreamFault fault, OutputStream out) throws IOException, InterruptedException {
        List<byte[]> events = events(fault);
        int complete = events.size();
        int written =
                switch (fault) {
                    case SILENT_BEFORE_LAST_TOKEN,
                            CLIENT_CLOSES,
                            CLIENT_RESETS,
                            PARTIAL_EVENT,
                            COMMENTS_ONLY,
                            UPSTREAM_DISCONNECTS -> complete - 4;
                    case SILENT_BEFORE_USAGE -> complete - 2;
                    case SILENT_BEFORE_DONE -> complete - 1;
                    default -> complete;
                };
        for (int i = 0; i < written; i++) {
            writeChunk(out, events.get(i));
            if (fault != StreamFault.LARGE_EVENTS) {
                TimeUnit.MILLISECONDS.sleep(EVENT_MS);
            }
        }
        switch (fault) {
            case PARTIAL_EVENT -> writePartialEvent(out);
            case COMMENTS_ONLY -> writeComments(out);
            case UPSTREAM_DISCONNECTS -> throw new IOException("injected disconnect");
            default -> {}
        }
        return written == complete && fault != StreamFault.SILENT_BEFORE_LAST_CHUNK;
    }

    private static void writeChunk(OutputStream out, byte[] bytes) throws IOException {
        out.write(new HttpWriter().appendChunk(bytes).take());
    }

    /** Writes an event byte by byte, without its end. */
    private static void writePartialEvent(OutputStream out) throws IOException, InterruptedException {
        out.write("40\r\n".getBytes(UTF_8));
        for (int i = 0; i < 30; i++) {
            out.write("data: partial partial partial part".charAt(i));
            TimeUnit.MILLISECONDS.sleep(200);
        }
    }

    private static void writeComments(OutputStream out) throws IOException, InterruptedException {
        for (int i = 0; i < 40; i++) {
            writeChunk(out, COMMENT);
            TimeUnit.MILLISECONDS.sleep(200);
        }
    }

    /**
     * Whether the received bytes match those sent.
     *
     * @param complete whether the response ended as complete; if so, all bytes are required, otherwise a prefix of them
     */
    static boolean matches(byte[] received, StreamFault fault, boolean complete) {
        ByteArrayOutputStream events = new ByteArrayOutputStream();
        events(fault).forEach(events::writeBytes);
        byte[] sent = events.toByteArray();
        byte[] compared = received;
        if (fault == StreamFault.COMMENTS_ONLY) {
            compared = new String(received, UTF_8)
                    .replace(new String(COMMENT, UTF_8), "")
                    .getBytes(UTF_8);
        }
        boolean sameBytes = compared.length <= sent.length
                && Arrays.equals(compared, 0, compared.length, sent, 0, compared.length)
                && (!complete || compared.length == sent.length);
        return sameBytes && (!complete || fault.allowsCompletion());
    }
}
