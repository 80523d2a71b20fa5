package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The reply to one batch. Messages are buffered and sent together, one JSON object per line, when the batch ends, so
 * that malformed input never leaves a partially written reply. Not thread-safe.
 */
final class Reply {
    /** Writes no separator between messages, because each message ends with a line break. */
    private static final JsonFactory FACTORY =
            ((JsonFactoryBuilder) JsonFactory.builder()).rootValueSeparator("").build();

    private final List<ReplyMessage> messages = new ArrayList<>();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final OutputStream out;
    private final JsonGenerator generator;

    /** Creates an empty reply that will be sent to {@code out}. */
    Reply(OutputStream out) throws IOException {
        this.out = out;
        generator = FACTORY.createGenerator(buffer);
    }

    void add(ReplyMessage message) {
        messages.add(message);
    }

    /** Discards the messages that have not been sent. */
    void clear() {
        messages.clear();
    }

    /** Sends the messages and the end-of-reply marker in one write and starts the next reply. */
    void send() throws IOException {
        for (ReplyMessage message : messages) {
            write(message);
        }
        writeEndOfReply();
        generator.flush();
        buffer.writeTo(out);
        out.flush();
        buffer.reset();
        messages.clear();
    }

    private void write(ReplyMessage message) throws IOException {
        startMessage(message.wireName());
        generator.writeNumberField("who", message.instance());
        message.writeFields(generator);
        endMessage();
    }

    private void writeEndOfReply() throws IOException {
        startMessage("EOR");
        endMessage();
    }

    private void startMessage(String wireName) throws IOException {
        generator.writeStartObject();
        generator.writeObjectFieldStart(wireName);
    }

    private void endMessage() throws IOException {
        generator.writeEndObject();
        generator.writeEndObject();
        generator.writeRaw('\n');
    }
}
