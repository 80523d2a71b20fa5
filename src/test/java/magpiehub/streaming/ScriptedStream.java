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

/** The numbered events of a stream, so that what a client got is compared with what was sent, to the byte. */
final class ScriptedStream {
    /** The time between two events (ms). */
    static final int EVENT_MS = 50;

    private static final int EVENTS = 80;
    private static final byte[] FINISH =
            ("data: {" + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n").getBytes(UTF_8);
    private static final byte[] USAGE =
            ("data: {" + "\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9}}\n\n").getBytes(UTF_8);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(UTF_8);
    private static final byte[] COMMENT = ": still here\n\n".getBytes(UTF_8);

    private ScriptedStream() {}

    private static byte[] event(int number, int size) {
        String text = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + number + "." + "x".repeat(size)
                + "\"},\"finish_reason\":null}]}\n\n";
        return text.getBytes(UTF_8);
    }

    /** All events of the complete stream that a fault is injected into. */
    static List<byte[]> events(StreamFault fault) {
        int count =
                switch (fault) {
                    case LARGE -> 20;
                    case PAUSES, BYTE_A_SECOND, STOPS_READING -> 12;
                    case NONE -> EVENTS;
                    default -> 10;
                };
        int size =
                switch (fault) {
                    case LARGE -> 100_000;
                    case PAUSES -> 15_000;
                    case BYTE_A_SECOND, STOPS_READING -> 60_000;
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
     * Writes a stream as far as its fault lets it come.
     *
     * @return whether the stream is to be ended in order
     */
    static boolean write(StreamFault fault, OutputStream out) throws IOException, InterruptedException {
        List<byte[]> events = events(fault);
        int complete = events.size();
        int written =
                switch (fault) {
                    case BEFORE_TOKEN, LEAVES, RESETS, DRIBBLES, COMMENTS, BREAKS -> complete - 4;
                    case BEFORE_USAGE -> complete - 2;
                    case BEFORE_DONE -> complete - 1;
                    default -> complete;
                };
        for (int i = 0; i < written; i++) {
            writeChunk(out, events.get(i));
            if (fault != StreamFault.LARGE) {
                TimeUnit.MILLISECONDS.sleep(EVENT_MS);
            }
        }
        switch (fault) {
            case DRIBBLES -> dribble(out);
            case COMMENTS -> comment(out);
            case BREAKS -> throw new IOException("breaks");
            default -> {}
        }
        return written == complete && fault != StreamFault.BEFORE_LAST_CHUNK;
    }

    private static void writeChunk(OutputStream out, byte[] bytes) throws IOException {
        out.write(new HttpWriter().appendChunk(bytes).take());
    }

    /** An event that comes byte by byte and has no end. */
    private static void dribble(OutputStream out) throws IOException, InterruptedException {
        out.write("40\r\n".getBytes(UTF_8));
        for (int i = 0; i < 30; i++) {
            out.write("data: dribble dribble dribble drib".charAt(i));
            TimeUnit.MILLISECONDS.sleep(200);
        }
    }

    private static void comment(OutputStream out) throws IOException, InterruptedException {
        for (int i = 0; i < 40; i++) {
            writeChunk(out, COMMENT);
            TimeUnit.MILLISECONDS.sleep(200);
        }
    }

    /**
     * Whether what came is what was sent.
     *
     * @param complete whether the response was said to be complete: then all must be there, else a beginning of it
     */
    static boolean matches(byte[] received, StreamFault fault, boolean complete) {
        ByteArrayOutputStream events = new ByteArrayOutputStream();
        events(fault).forEach(events::writeBytes);
        byte[] sent = events.toByteArray();
        byte[] compared = received;
        if (fault == StreamFault.COMMENTS) {
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
