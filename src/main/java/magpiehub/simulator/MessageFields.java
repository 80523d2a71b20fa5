package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import magpiehub.config.EndpointEntry;
import magpiehub.config.EndpointFieldNames;
import magpiehub.config.EndpointListParser;
import magpiehub.config.Json;
import magpiehub.routing.Endpoint;
import magpiehub.routing.LoadReport;

/**
 * The fields of one message of any type, as they appear on the wire; an absent field has its default value.
 *
 * <p>All messages share one set of field names, and a field's type does not depend on the message. One instance is
 * reused for every message, so that reading allocates little; {@link RouterEventDecoder} copies what outlives the
 * message. Times are in milliseconds, as on the wire. Not thread-safe.
 */
final class MessageFields {
    /** Marks an absent non-negative number. */
    private static final int ABSENT = -1;

    private static final EndpointFieldNames ENDPOINT_FIELDS = new SimulatorEndpointFields();

    private String messageName = "";

    int instance;
    String requestId;
    String replicaId;
    String listKind;
    int classIndex;
    int tenantIndex;
    int attempt;
    int outcomeCode;
    int sourcePeer;
    long sessionId;
    long prefixId;
    long timerToken;
    long seed;
    long cachedTokens;
    double roundTimeMillis;
    double deadlineMillis;
    double predictedMillis;
    double promptTokens;
    double prefixTokens;
    double maxOutputTokens;
    double durationMillis;
    boolean clientRetry;
    boolean write;
    boolean continuation;
    boolean settled;
    LoadReport loadReport;
    byte[] payload;
    Map<String, Object> settings;
    List<Endpoint> endpoints;

    /** Resets every field to its default and sets the name of the next message. */
    void reset(String newMessageName) {
        messageName = newMessageName;
        instance = ABSENT;
        requestId = null;
        replicaId = null;
        listKind = null;
        classIndex = 0;
        tenantIndex = 0;
        attempt = 0;
        outcomeCode = 0;
        sourcePeer = 0;
        sessionId = 0;
        prefixId = 0;
        timerToken = 0;
        seed = 0;
        cachedTokens = ABSENT;
        roundTimeMillis = Double.NaN;
        deadlineMillis = Double.NaN;
        predictedMillis = 0;
        promptTokens = 0;
        prefixTokens = 0;
        maxOutputTokens = 0;
        durationMillis = 0;
        clientRetry = false;
        write = false;
        continuation = false;
        settled = false;
        loadReport = null;
        payload = null;
        settings = null;
        endpoints = List.of();
    }

    /**
     * Reads the parser's current value into the field with this name; skips the value of an unknown field.
     *
     * @throws magpiehub.config.ConfigurationException if the value is not of the field's type
     */
    void readField(String name, JsonParser parser) throws IOException {
        switch (name) {
            case "who" -> instance = (int) JsonValues.readLong(parser);
            case "job" -> requestId = JsonValues.readString(parser);
            case "engine" -> replicaId = JsonValues.readString(parser);
            case "kind" -> listKind = JsonValues.readString(parser);
            case "type" -> classIndex = (int) JsonValues.readLong(parser);
            case "customer" -> tenantIndex = (int) JsonValues.readLong(parser);
            case "n" -> attempt = (int) JsonValues.readLong(parser);
            case "reason" -> outcomeCode = (int) JsonValues.readLong(parser);
            case "srcPeer" -> sourcePeer = (int) JsonValues.readLong(parser);
            case "pathKey" -> sessionId = JsonValues.readLong(parser);
            case "sharedPrefix" -> prefixId = JsonValues.readLong(parser);
            case "nonce" -> timerToken = JsonValues.readLong(parser);
            case "initSeed" -> seed = JsonValues.readUnsignedLong(parser);
            case "detail" -> cachedTokens = JsonValues.readLong(parser);
            case "atTimeMs" -> roundTimeMillis = JsonValues.readDouble(parser);
            case "dropDeadMs" -> deadlineMillis = JsonValues.readDouble(parser);
            case "predictedMs" -> predictedMillis = JsonValues.readDouble(parser);
            case "nPrompt" -> promptTokens = JsonValues.readDouble(parser);
            case "prefixLen" -> prefixTokens = JsonValues.readDouble(parser);
            case "maxOut" -> maxOutputTokens = JsonValues.readDouble(parser);
            case "tookMs" -> durationMillis = JsonValues.readDouble(parser);
            case "retry" -> clientRetry = JsonValues.readBoolean(parser);
            case "isWrite" -> write = JsonValues.readBoolean(parser);
            case "again" -> continuation = JsonValues.readBoolean(parser);
            case "settled" -> settled = JsonValues.readBoolean(parser);
            case "serverStats" -> loadReport = LoadReportParser.parse(parser);
            case "payload" -> payload = JsonValues.readBase64(parser);
            case "facts" -> settings = Json.readObject(parser);
            case "nodesList" -> endpoints = readEndpoints(parser);
            default -> parser.skipChildren();
        }
    }

    private static List<Endpoint> readEndpoints(JsonParser parser) throws IOException {
        return EndpointListParser.parse(parser, ENDPOINT_FIELDS).stream()
                .map(EndpointEntry::endpoint)
                .toList();
    }

    /** The name of the message that the fields belong to. */
    String messageName() {
        return messageName;
    }

    int requireInstance() {
        if (instance < 0) {
            throw malformed("who", "is missing");
        }
        return instance;
    }

    String requireRequestId() {
        return require(requestId, "job");
    }

    String requireReplicaId() {
        return require(replicaId, "engine");
    }

    String requireListKind() {
        return require(listKind, "kind");
    }

    Map<String, Object> requireSettings() {
        return require(settings, "facts");
    }

    double requireRoundTimeMillis() {
        return require(roundTimeMillis, "atTimeMs");
    }

    double requireDeadlineMillis() {
        return require(deadlineMillis, "dropDeadMs");
    }

    private <T> T require(T value, String wireName) {
        if (value == null) {
            throw malformed(wireName, "is missing");
        }
        return value;
    }

    private double require(double value, String wireName) {
        if (Double.isNaN(value)) {
            throw malformed(wireName, "is missing");
        }
        return value;
    }

    /** Creates an exception for one field of this message. */
    MalformedMessageException malformed(String wireName, String reason) {
        return new MalformedMessageException(messageName + "." + wireName, reason);
    }
}
