package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Json;

/** One line of the response to {@code /v3/watch}: {@code {"result":{...}}} or {@code {"error":{...}}}. */
final class EtcdWatchResponse {
    private ListPosition header = ListPosition.NONE;
    private boolean created;
    private boolean canceled;
    private boolean fragment;
    private long compactRevision;
    private String cancelReason = "";
    private EtcdStatusException error;
    private final List<EtcdWatchEvent> events = new ArrayList<>();

    private EtcdWatchResponse() {}

    /** Parses a line. */
    static EtcdWatchResponse parse(byte[] line) throws IOException {
        EtcdWatchResponse response = new EtcdWatchResponse();
        try (JsonParser parser = Json.FACTORY.createParser(line)) {
            parser.nextToken();
            JsonObjects.expectObject(parser);
            for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
                switch (name) {
                    case "result" -> response.readResult(parser);
                    case "error" -> response.error = readError(parser);
                    default -> parser.skipChildren();
                }
            }
        }
        return response;
    }

    private static EtcdStatusException readError(JsonParser parser) throws IOException {
        ConfigurationObject error = new ConfigurationObject(Json.readObject(parser), "error");
        int code = (int) error.number("grpc_code", error.number("code", 0));
        return new EtcdStatusException(code, error.text("message", ""));
    }

    private void readResult(JsonParser parser) throws IOException {
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            switch (name) {
                case "header" -> header = EtcdResponseHeader.read(parser);
                case "created" -> created = parser.getValueAsBoolean();
                case "canceled" -> canceled = parser.getValueAsBoolean();
                case "fragment" -> fragment = parser.getValueAsBoolean();
                case "compact_revision" -> compactRevision = JsonObjects.readUnsignedLong(parser);
                case "cancel_reason" -> cancelReason = parser.getValueAsString("");
                case "events" -> events.addAll(JsonObjects.readObjects(parser, EtcdWatchEvent::read));
                default -> parser.skipChildren();
            }
        }
    }

    /**
     * Where the cluster stands. In a response with events this is not the position of the last event: the response may
     * leave out later events.
     */
    ListPosition header() {
        return header;
    }

    /** Whether this is the first response, which reports that the watch was opened. */
    boolean isCreated() {
        return created;
    }

    /** Whether etcd ended the watch, for {@link #cancelReason}. */
    boolean isCanceled() {
        return canceled;
    }

    String cancelReason() {
        return cancelReason;
    }

    /** Whether more events of the same revision follow in the next response. */
    boolean isFragment() {
        return fragment;
    }

    /** The oldest revision that etcd still has, if the watch asked for an older one; 0 otherwise. */
    long compactRevision() {
        return compactRevision;
    }

    /** The gateway's error, which ends the watch; null if there is none. */
    EtcdStatusException error() {
        return error;
    }

    List<EtcdWatchEvent> events() {
        return events;
    }
}
