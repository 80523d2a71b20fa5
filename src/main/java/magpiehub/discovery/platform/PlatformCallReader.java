package magpiehub.discovery.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationException;
import magpiehub.config.HostPort;
import magpiehub.config.Json;
import magpiehub.discovery.EndpointEntryParser;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/**
 * Makes the calls to discovery, each on its own thread, and posts the received updates to the actor. A response is a
 * sequence of JSON values with any whitespace and any division into chunks; blank lines between the values are
 * heartbeats.
 */
final class PlatformCallReader {
    /** The maximum size of one list. The longest list of the platform is a hundredth of it. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int STATUS_OK = 200;

    private final EndpointEntryParser entryParser;
    private final MonotonicClock clock;
    private final Mailbox<PlatformMessage> actor;

    PlatformCallReader(EndpointEntryParser entryParser, MonotonicClock clock, Mailbox<PlatformMessage> actor) {
        this.entryParser = entryParser;
        this.clock = clock;
        this.actor = actor;
    }

    /** Makes a call and posts its updates; returns after posting {@link PlatformMessage.CallEnded}. */
    void run(PlatformCall call, String target) {
        String reason = "ended";
        boolean malformed = false;
        try (Socket socket = call.socket) {
            HttpReader input = send(call, socket, target);
            if (input.awaitMessage()) {
                HttpHead head = input.readResponseHead();
                if (head.status() == STATUS_OK) {
                    readUpdates(call, input.openBody(head, Integer.MAX_VALUE));
                } else {
                    reason = "status " + head.status();
                }
            }
        } catch (JsonProcessingException e) {
            reason = e.getOriginalMessage();
            malformed = true;
        } catch (ConfigurationException e) {
            reason = e.getMessage();
            malformed = true;
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            reason = e.toString();
        }
        actor.post(new PlatformMessage.CallEnded(call, reason, malformed));
    }

    private HttpReader send(PlatformCall call, Socket socket, String target) throws IOException {
        socket.setTcpNoDelay(true);
        connect(call, socket);
        String request = "GET " + target + " HTTP/1.1\r\nHost: " + call.address + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return new HttpReader(socket.getInputStream(), clock);
    }

    private static void connect(PlatformCall call, Socket socket) throws IOException {
        try {
            socket.connect(HostPort.toSocketAddress(call.address), CONNECT_TIMEOUT_MILLIS);
            call.failure = CallFailure.UNANSWERED;
        } catch (IOException e) {
            call.failure = CallFailure.ofConnect(e);
            throw e;
        }
    }

    private void readUpdates(PlatformCall call, InputStream body) throws IOException {
        ValueInputStream values = new ValueInputStream(call, body);
        try (JsonParser json = Json.FACTORY.createParser(values)) {
            while (json.nextToken() != null) {
                values.insideValue = true;
                PlatformListUpdate update = PlatformListUpdate.parse(json, entryParser);
                post(new PlatformMessage.UpdateReceived(call, update), values.valueBytes);
                values.insideValue = false;
                values.valueBytes = 0;
            }
        }
    }

    private void post(PlatformMessage message, int bytes) throws IOException {
        if (!actor.post(message, bytes)) {
            throw new IOException("the mailbox of the discovery actor is full");
        }
    }

    /** The body of a response. Limits the size of each value and posts whitespace between values as heartbeats. */
    private final class ValueInputStream extends FilterInputStream {
        private final PlatformCall call;
        private boolean insideValue;
        private int valueBytes;

        ValueInputStream(PlatformCall call, InputStream in) {
            super(in);
            this.call = call;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            int count = super.read(buffer, offset, length);
            if (!insideValue && isBlank(buffer, offset, count)) {
                post(new PlatformMessage.HeartbeatReceived(call), count);
                return count;
            }
            valueBytes += Math.max(0, count);
            if (valueBytes > MAX_LIST_BYTES) {
                throw new ConfigurationException("list is larger than " + MAX_LIST_BYTES + " bytes");
            }
            return count;
        }

        private static boolean isBlank(byte[] buffer, int offset, int count) {
            for (int i = offset; i < offset + count; i++) {
                if (buffer[i] > ' ') {
                    return false;
                }
            }
            return count > 0;
        }
    }
}
