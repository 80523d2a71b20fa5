package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** What the adapter tells the simulator about one simulated router. Times are in microseconds. */
sealed interface ReplyMessage {
    /** The value of {@code whom} that stands for all peers. */
    String ALL_PEERS = "*";

    /** Decimals of a time in milliseconds on the wire, down to the microsecond. */
    int MILLIS_DECIMALS = 3;

    /** The message's name on the wire. */
    String wireName();

    /** The simulated router's instance number. */
    int instance();

    /** Writes the message's fields, all but the instance number, into an object that the caller opens and closes. */
    void writeFields(JsonGenerator generator) throws IOException;

    /** Send an attempt; a timeout of 0 lasts until the request's deadline and is left out. */
    record SendAttempt(int instance, String requestId, String replicaId, long timeoutMicros) implements ReplyMessage {
        @Override
        public String wireName() {
            return "PASS_ON";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "job", requestId);
            writeText(generator, "engine", replicaId);
            if (timeoutMicros != 0) {
                writeMillis(generator, "giveUpAfterMs", timeoutMicros);
            }
        }
    }

    /** Cancel an attempt, counted from 0. */
    record CancelAttempt(int instance, String requestId, int attempt) implements ReplyMessage {
        @Override
        public String wireName() {
            return "ABANDON";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "job", requestId);
            generator.writeNumberField("n", attempt);
        }
    }

    /** Final answer: rejected. A time to come back is left out if it is 0. */
    record Reject(int instance, String requestId, long retryAfterMicros) implements ReplyMessage {
        @Override
        public String wireName() {
            return "REJECT";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "job", requestId);
            if (retryAfterMicros > 0) {
                writeMillis(generator, "comeBackMs", retryAfterMicros);
            }
        }
    }

    /** Final answer: failed. */
    record Fail(int instance, String requestId) implements ReplyMessage {
        @Override
        public String wireName() {
            return "DROP_REQUEST";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "job", requestId);
        }
    }

    /** Open or close the watch on the endpoint list. */
    record SetWatch(int instance, boolean open) implements ReplyMessage {
        @Override
        public String wireName() {
            return "LISTEN";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            generator.writeBooleanField("on", open);
        }
    }

    /** Send the complete endpoint list once. */
    record FetchEndpoints(int instance) implements ReplyMessage {
        @Override
        public String wireName() {
            return "RESOLVE";
        }

        @Override
        public void writeFields(JsonGenerator generator) {
            // The instance number says it all.
        }
    }

    /** Report at a time that the timer with this token has fired. */
    record SetTimer(int instance, long atMicros, long token) implements ReplyMessage {
        @Override
        public String wireName() {
            return "SCHEDULE";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeMillis(generator, "alarmTimeMs", atMicros);
            generator.writeNumberField("nonce", token);
        }
    }

    /** Send a health check to a replica. */
    record Probe(int instance, String replicaId) implements ReplyMessage {
        @Override
        public String wireName() {
            return "SAMPLE";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "engine", replicaId);
        }
    }

    /** End a running stream in order, so that its client resumes it elsewhere. */
    record MigrateStream(int instance, String requestId) implements ReplyMessage {
        @Override
        public String wireName() {
            return "GO_AWAY";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "job", requestId);
        }
    }

    /** Close the idle connections to a replica. */
    record CloseIdleConnections(int instance, String replicaId) implements ReplyMessage {
        @Override
        public String wireName() {
            return "CLOSE";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "engine", replicaId);
        }
    }

    /** Deliver a message to one peer, or to all if {@code peer} is negative. */
    record SendToPeer(int instance, int peer, byte[] payload) implements ReplyMessage {
        @Override
        public String wireName() {
            return "SHARE";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            if (peer < 0) {
                writeText(generator, "whom", ALL_PEERS);
            } else {
                generator.writeNumberField("whom", peer);
            }
            writeText(generator, "payload", Base64.getEncoder().encodeToString(payload));
        }
    }

    /** A line of the router's log. */
    record LogLine(int instance, String line) implements ReplyMessage {
        @Override
        public String wireName() {
            return "DEBUG";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "bodyText", line);
        }
    }

    /** The router failed unexpectedly; the adapter ends after this message. */
    record RouterFailure(int instance, String description) implements ReplyMessage {
        @Override
        public String wireName() {
            return "INTERNAL_ERROR";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeText(generator, "bodyText", description);
        }
    }

    /** Encoding by {@code getBytes} replaces an unpaired surrogate, for which the generator itself would fail. */
    private static void writeText(JsonGenerator generator, String name, String value) throws IOException {
        byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
        generator.writeFieldName(name);
        generator.writeUTF8String(encoded, 0, encoded.length);
    }

    private static void writeMillis(JsonGenerator generator, String name, long micros) throws IOException {
        generator.writeNumberField(name, BigDecimal.valueOf(micros, MILLIS_DECIMALS));
    }
}
