package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointState;

/**
 * Reads the endpoint list from the instances of a service in Consul's health API ({@code /v1/health/service}).
 *
 * <p>Each instance is an endpoint, described by its address, its {@code Meta} ({@code locality}, {@code flavor},
 * {@code cell}, {@code size}, {@code phase}, {@code up_since_ms}) and its checks. An instance with a critical check,
 * which includes one in maintenance, is draining: it receives no new requests and may finish those in progress.
 */
final class ConsulServiceHealth implements ConsulResource {
    private final String path;
    private final EndpointEntryParser entries;

    ConsulServiceHealth(String service, EndpointEntryParser entries) {
        this.path = "/v1/health/service/" + PercentEncoding.encode(service);
        this.entries = entries;
    }

    @Override
    public String listTarget() {
        return path;
    }

    /** Uses a filter that matches no instance: the response is empty but carries the index of the complete list. */
    @Override
    public String indexTarget() {
        return path + "?filter=" + PercentEncoding.encode("Service.ID == \"\"");
    }

    @Override
    public boolean isEmptyWhenNotFound() {
        return false;
    }

    @Override
    public ListItem readEntry(JsonParser parser) throws IOException {
        Instance instance = new Instance(entries.newEntry());
        instance.read(parser);
        return instance.toItem();
    }

    /** One element of the response while it is being parsed. */
    private static final class Instance {
        private final EndpointEntryBuilder fields;
        private String nodeName = "";
        private String nodeAddress = "";
        private String id = "";
        private String address = "";
        private String port = "";
        private String modifyIndex = "0";
        private boolean critical;

        Instance(EndpointEntryBuilder fields) {
            this.fields = fields;
        }

        void read(JsonParser parser) throws IOException {
            forEachMemberIfObject(parser, (p, name) -> {
                switch (name) {
                    case "Node" -> forEachMemberIfObject(p, this::readNodeMember);
                    case "Service" -> forEachMemberIfObject(p, this::readServiceMember);
                    case "Checks" -> readChecks(p);
                    default -> p.skipChildren();
                }
            });
        }

        private static void forEachMemberIfObject(JsonParser parser, JsonObjects.MemberReader reader)
                throws IOException {
            if (parser.currentToken() == JsonToken.START_OBJECT) {
                JsonObjects.forEachMember(parser, reader);
            } else {
                parser.skipChildren();
            }
        }

        private void readNodeMember(JsonParser parser, String name) throws IOException {
            String value = EndpointEntryParser.scalar(parser);
            switch (name) {
                case "Node" -> nodeName = value;
                case "Address" -> nodeAddress = value;
                default -> {}
            }
        }

        private void readServiceMember(JsonParser parser, String name) throws IOException {
            if (name.equals("Meta")) {
                forEachMemberIfObject(parser, (p, field) -> fields.set(field, p));
                return;
            }
            String value = EndpointEntryParser.scalar(parser);
            switch (name) {
                case "ID" -> id = value;
                case "Address" -> address = value;
                case "Port" -> port = value;
                case "ModifyIndex" -> modifyIndex = value;
                default -> {}
            }
        }

        private void readChecks(JsonParser parser) throws IOException {
            boolean isArray = parser.currentToken() == JsonToken.START_ARRAY;
            while (isArray && parser.nextToken() != JsonToken.END_ARRAY) {
                forEachMemberIfObject(parser, this::readCheckMember);
            }
        }

        private void readCheckMember(JsonParser parser, String name) throws IOException {
            String value = EndpointEntryParser.scalar(parser);
            if (name.equals("Status")) {
                critical |= value.equals("critical") || value.equals("maintenance");
            }
        }

        ListItem toItem() {
            String key = nodeName + "/" + id;
            long index = ConsulResource.parseIndex(modifyIndex);
            fields.set("host_port", (address.isEmpty() ? nodeAddress : address) + ":" + port);
            try {
                EndpointEntry entry = fields.build(id);
                if (critical && entry.endpoint().state() == EndpointState.LIVE) {
                    fields.set("phase", "Terminating");
                    entry = fields.build(id);
                }
                return ListItem.fromEntry(key, index, entry);
            } catch (RuntimeException e) {
                return ListItem.unreadable(key, index, JsonObjects.describe(e));
            }
        }
    }
}
