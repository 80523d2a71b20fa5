package magpiehub.downstream;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import magpiehub.concurrent.Mailbox;
import magpiehub.http.Sockets;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * The actor of one connection: takes messages from the mailbox, has the {@link ClientMessageHandler} handle them one at
 * a time, and is the only one that writes to the socket and closes it gracefully.
 *
 * <p><b>Threads.</b> {@link #runTurn} is called on the actors' threads, never on two concurrently; a turn may block
 * while the client does not read. {@link #responseFlow} may be called from any thread.
 */
final class ClientConnectionActor {
    /** After so many flushes the turn ends, so that other actors get one although more messages have come. */
    private static final int MAX_FLUSHES_PER_TURN = 8;

    private final ClientConnection connection;
    private final Socket socket;
    private final Mailbox<ClientMessage> mailbox;
    private final ListenerServices services;
    private final ResponseWriter writer;
    private final ConnectionCloseState closeState;
    private final ClientMessageHandler handler;
    /** A message handler has thrown. */
    private boolean failed;
    /** The connection is closed; further messages are dropped. */
    private boolean closed;

    ClientConnectionActor(
            ClientConnection connection,
            Socket socket,
            boolean overCapacity,
            Mailbox<ClientMessage> mailbox,
            ListenerServices services) {
        this.connection = connection;
        this.socket = socket;
        this.mailbox = mailbox;
        this.services = services;
        this.writer = new ResponseWriter(services.streams());
        this.closeState = new ConnectionCloseState(overCapacity, services.drain());
        this.handler = new ClientMessageHandler(connection, socket, services, writer, closeState);
    }

    /** Returns the stream whose bytes are being written, or null. */
    StreamFlow responseFlow() {
        return writer.flow();
    }

    /** Handles the messages in the mailbox and writes the responses. */
    void runTurn() {
        if (!closed) {
            try {
                handleMessages(socket.getOutputStream());
            } catch (IOException e) {
                closeState.endNow(); // The client disconnected during the write.
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
                onFailure(e);
            }
        }
        if (closeState.isEnded()) {
            closeConnection();
        }
    }

    private void handleMessages(OutputStream out) throws IOException {
        for (int flushes = 0; flushes < MAX_FLUSHES_PER_TURN && !closeState.isEnded(); flushes++) {
            ClientMessage message = mailbox.poll();
            if (message == null) {
                return;
            }
            handleUntilFlush(message);
            writer.flush(out);
            writer.reportWritten(handler.currentFlow());
            handler.onBufferWritten();
        }
    }

    /** Handles messages, starting with the given one, until the mailbox is empty or the buffer has to be flushed. */
    private void handleUntilFlush(ClientMessage first) {
        ClientMessage message = first;
        while (message != null && !closeState.isEnded()) {
            message.deliverTo(handler);
            message = writer.canBufferMore() ? mailbox.poll() : null;
        }
    }

    /**
     * Ends the connection after a handler has thrown. A request whose response has not begun gets an error response.
     */
    private void onFailure(Throwable failure) {
        services.eventLog().count("client_exceptions");
        services.eventLog().log("client-exception", "error", failure.toString());
        failed = true;
        try {
            if (handler.respondAfterFailure()) {
                writer.flushWithoutAccounting(socket.getOutputStream());
            }
        } catch (IOException e) {
            // The client has disconnected; the error response can't be delivered.
        }
        closeState.endNow();
    }

    /** Closes the socket and releases the connection's resources, once; messages that arrive later are dropped. */
    private void closeConnection() {
        connection.markClientDisconnected();
        Sockets.closeQuietly(socket);
        mailbox.close();
        connection.releaseReader();
        dropMessages();
        if (closed) {
            return;
        }
        closed = true;
        handler.release(failed ? StreamOutcome.INTERNAL_ERROR : StreamOutcome.CLIENT_DISCONNECTED);
        services.connections().remove(connection);
    }

    private void dropMessages() {
        ClientMessage message = mailbox.poll();
        while (message != null) {
            if (message instanceof ClientMessage.RequestReceived request) {
                services.bodyBudget().release(request.reservedBytes());
            }
            message = mailbox.poll();
        }
    }
}
