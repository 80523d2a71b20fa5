package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Json;

/** One line of a {@code /v3/watch} response stream: {@code {"result":{...}}} or {@code {"error":{...}}}. */
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
     * Returns the cluster's current position. In a response with events this may be later than the position of the
     * last event: the response may omit later events.
     */
    ListPosition header() {
        return header;
    }

    /** Returns whether this is the first response, which confirms that etcd created the watch. */
    boolean isCreated() {
        return created;
    }

    /** Returns whether etcd cancelled the watch, see {@link #cancelReason}. */
    boolean isCanceled() {
        return canceled;
    }

    String cancelReason() {
        return cancelReason;
    }

    /** Returns whether the next response continues the events of the same revision. */
    boolean isFragment() {
        return fragment;
    }

    /** Returns the oldest available revision if the requested one was compacted, otherwise 0. */
    long compactRevision() {
        return compactRevision;
    }

    /** Returns the gateway's error, which ends the watch, or null if there is none. */
    EtcdStatusException error() {
        return error;
    }

    List<EtcdWatchEvent> events() {
        return events;
    }
}
