package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** A message from the adapter to the simulator about one simulated router. Times are in microseconds. */
sealed interface ReplyMessage {
    /** The value of {@code whom} that addresses all peers. */
    String ALL_PEERS = "*";

    /** Decimal places of a time in milliseconds on the wire: microsecond resolution. */
    int MILLIS_DECIMALS = 3;

    /** The message's name on the wire. */
    String wireName();

    /** The simulated router's instance number. */
    int instance();

    /** Writes the message's fields except the instance number; the caller opens and closes the object. */
    void writeFields(JsonGenerator generator) throws IOException;

    /** Send an attempt; a timeout of 0 means the request's deadline and is omitted. */
    record SendAttempt(int instance, String requestId, String replicaId, long timeoutMicros) implements ReplyMessage {
        @Override
        public String wireName() {
            return "PASS_ON";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeString(generator, "job", requestId);
            writeString(generator, "engine", replicaId);
            if (timeoutMicros != 0) {
                writeMillis(generator, "giveUpAfterMs", timeoutMicros);
            }
        }
    }

    /** Cancel an attempt; attempts are numbered from 0. */
    record CancelAttempt(int instance, String requestId, int attempt) implements ReplyMessage {
        @Override
        public String wireName() {
            return "ABANDON";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeString(generator, "job", requestId);
            generator.writeNumberField("n", attempt);
        }
    }

    /** Final answer: rejected. A retry delay of 0 is omitted. */
    record Reject(int instance, String requestId, long retryAfterMicros) implements ReplyMessage {
        @Override
        public String wireName() {
            return "REJECT";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeString(generator, "job", requestId);
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
            writeString(generator, "job", requestId);
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
            // There are no fields besides the instance number.
        }
    }

    /** Schedule a timer: report at the given time that the timer with this token has fired. */
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
    record SendHealthCheck(int instance, String replicaId) implements ReplyMessage {
        @Override
        public String wireName() {
            return "SAMPLE";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeString(generator, "engine", replicaId);
        }
    }

    /** End a running stream cleanly, so that its client resumes it elsewhere. */
    record MigrateStream(int instance, String requestId) implements ReplyMessage {
        @Override
        public String wireName() {
            return "GO_AWAY";
        }

        @Override
        public void writeFields(JsonGenerator generator) throws IOException {
            writeString(generator, "job", requestId);
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
            writeString(generator, "engine", replicaId);
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
                writeString(generator, "whom", ALL_PEERS);
            } else {
                generator.writeNumberField("whom", peer);
            }
            writeString(generator, "payload", Base64.getEncoder().encodeToString(payload));
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
            writeString(generator, "bodyText", line);
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
            writeString(generator, "bodyText", description);
        }
    }

    /** Encodes with {@code getBytes}, which replaces unpaired surrogates; the generator itself would throw for them. */
    private static void writeString(JsonGenerator generator, String name, String value) throws IOException {
        byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
        generator.writeFieldName(name);
        generator.writeUTF8String(encoded, 0, encoded.length);
    }

    private static void writeMillis(JsonGenerator generator, String name, long micros) throws IOException {
        generator.writeNumberField(name, BigDecimal.valueOf(micros, MILLIS_DECIMALS));
    }
}
