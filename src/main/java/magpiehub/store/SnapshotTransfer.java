package magpiehub.store;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.function.Consumer;
import magpiehub.config.HostPort;

/** Both sides of the transfer of all entries of a replica. Blocks its thread. */
final class SnapshotTransfer {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int READ_TIMEOUT_MILLIS = 1000;

    private SnapshotTransfer() {}

    /**
     * Fetches all entries of a replica.
     *
     * @param address the replica's address as {@code host:port}
     * @param receiver receives each entry
     * @throws IOException if the replica can't be reached or does not send all of them
     * @throws RuntimeException if a message is malformed
     */
    static void fetch(String address, Consumer<StoreMessage.ReplicatedWrite> receiver) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(HostPort.toSocketAddress(address), CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(StoreMessageCodec.encodeSnapshotRequest());
            StoreMessageReader reader = new StoreMessageReader(socket.getInputStream());
            StoreMessage message = reader.read();
            while (message instanceof StoreMessage.ReplicatedWrite write) {
                receiver.accept(write);
                message = reader.read();
            }
            if (!(message instanceof StoreMessage.SnapshotEnd)) {
                throw new IOException("no complete snapshot from " + address);
            }
        }
    }

    /**
     * Sends all entries and the end of the snapshot.
     *
     * @param entries may change meanwhile
     */
    static void send(Map<String, VersionedValue> entries, OutputStream out) throws IOException {
        sendEntries(entries, out);
        out.write(StoreMessageCodec.encodeSnapshotEnd());
    }

    /** Sends all entries. */
    static void sendEntries(Map<String, VersionedValue> entries, OutputStream out) throws IOException {
        for (Map.Entry<String, VersionedValue> entry : entries.entrySet()) {
            out.write(StoreMessageCodec.encode(entry.getKey(), entry.getValue()));
        }
    }
}
