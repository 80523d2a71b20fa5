package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParseException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import magpiehub.config.Milliseconds;

/**
 * Runs routing policies on behalf of a simulator: reads batches of messages, delivers each message to the simulated
 * router that it names, and answers every batch with the actions that the routers took. A batch starts with a
 * {@code ROUND} message, which carries the simulated time, and ends with {@code EOB}. Everything runs on the thread
 * that calls {@link #run}.
 */
public final class SimulatorAdapter {
    private final InputStream in;
    private final PrintStream errors;
    private final Reply reply;
    private final SimulatedRouters routers;
    private long nowMicros;
    private boolean isInBatch;

    /** Creates an adapter that reads from {@code in}, replies to {@code out} and reports errors to {@code errors}. */
    public SimulatorAdapter(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        this.in = in;
        this.errors = errors;
        reply = new Reply(out);
        routers = new SimulatedRouters(reply);
    }

    /**
     * Processes messages until the input ends or an error occurs.
     *
     * @return the exit status: 0 if the input ended after a batch, 1 if it was malformed or a router failed
     */
    public int run() throws IOException {
        MessageReader reader = new MessageReader(in);
        try {
            return processAll(reader);
        } catch (MalformedMessageException e) {
            return reportMalformed(reader, e.location(), e.getMessage());
        } catch (JsonParseException e) {
            return reportMalformed(reader, reader.location(), e.getOriginalMessage());
        }
    }

    private int processAll(MessageReader reader) throws IOException {
        for (MessageFields message = reader.next(); message != null; message = reader.next()) {
            if (!process(message)) {
                return 1;
            }
        }
        if (isInBatch) {
            throw new MalformedMessageException("", "the input ended inside a batch");
        }
        return 0;
    }

    private int reportMalformed(MessageReader reader, String location, String reason) {
        String prefix = location.isEmpty() ? "" : ": " + location;
        errors.println("adapter: line " + reader.lineNumber() + prefix + ": " + reason);
        errors.flush();
        return 1;
    }

    /** Processes one message; returns false if a router failed, which ends the run. */
    private boolean process(MessageFields message) throws IOException {
        if (message.messageName().equals("ROUND")) {
            startBatch(message);
            return true;
        }
        if (!isInBatch) {
            throw new MalformedMessageException(message.messageName(), "received outside a batch");
        }
        if (message.messageName().equals("EOB")) {
            isInBatch = false;
            reply.send();
            return true;
        }
        return processForRouter(message);
    }

    private void startBatch(MessageFields message) {
        if (isInBatch) {
            throw new MalformedMessageException(message.messageName(), "a batch is already open");
        }
        nowMicros = Milliseconds.toMicros(message.requireRoundTimeMillis());
        isInBatch = true;
        reply.clear();
    }

    /** Reports an unexpected failure of a router in the reply, in place of the batch's actions. */
    private boolean processForRouter(MessageFields message) throws IOException {
        try {
            dispatch(message);
            return true;
        } catch (MalformedMessageException e) {
            throw e;
        } catch (RuntimeException | StackOverflowError e) {
            e.printStackTrace(errors);
            reply.clear();
            reply.add(new ReplyMessage.RouterFailure(message.instance, e.toString()));
            reply.send();
            return false;
        }
    }

    private void dispatch(MessageFields message) {
        switch (message.messageName()) {
            case "PROVISION" -> routers.provision(message, nowMicros);
            case "EXIT" -> routers.remove(message);
            default -> routers.deliver(message, nowMicros);
        }
    }
}
