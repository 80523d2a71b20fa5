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
 * The reply to one batch. Messages are collected and sent together, a JSON object a line, when the batch is over, so
 * that malformed input leaves no reply half written. Not thread-safe.
 */
final class Reply {
    /** Writes nothing between two messages: each ends its own line. */
    private static final JsonFactory FACTORY =
            ((JsonFactoryBuilder) JsonFactory.builder()).rootValueSeparator("").build();

    private final List<ReplyMessage> messages = new ArrayList<>();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final OutputStream out;
    private final JsonGenerator generator;

    /** An empty reply that will be sent to {@code out}. */
    Reply(OutputStream out) throws IOException {
        this.out = out;
        generator = FACTORY.createGenerator(buffer);
    }

    /** Appends a message. */
    void add(ReplyMessage message) {
        messages.add(message);
    }

    /** Drops the messages that have not been sent. */
    void clear() {
        messages.clear();
    }

    /** Sends the messages and the end of the reply in one write, and begins the next reply. */
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
