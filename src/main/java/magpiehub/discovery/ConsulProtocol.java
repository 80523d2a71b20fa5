package magpiehub.discovery;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import magpiehub.http.HttpHead;

/**
 * Endpoint lists in Consul, read through its HTTP interface (version 1) as its documentation of blocking queries, of
 * {@code /v1/health/service} and of {@code /v1/kv} describes it: {@code index} and {@code wait} with up to a sixteenth
 * of jitter, an index that must be above 0 and must not go back, {@code X-Consul-KnownLeader}, the token in
 * {@code X-Consul-Token}, {@code Retry-After} on 429. Reads are in the default consistency mode.
 *
 * <p>Each response is the complete list, so nothing can be missed between two of them. What a response costs is why
 * the caller leaves a time between two queries. Not covered: tags, weights, near, stale and cached reads, prepared
 * queries, more than one data centre.
 */
final class ConsulProtocol implements RegistryProtocol {
    /** The header that carries the access token. */
    static final String TOKEN_HEADER = "X-Consul-Token";

    private static final int STATUS_NOT_FOUND = 404;
    private static final long MICROS_PER_MILLI = 1000;

    /** Consul lengthens a wait by up to this part of it, so that clients do not all come back at once. */
    private static final int WAIT_JITTER_DIVISOR = 16;

    /** Consul has no histories that could be told apart. */
    private static final String NO_HISTORY = "";

    private static final long UNKNOWN_COUNT = -1;

    private final ConsulResource resource;
    private final long waitMicros;
    private final String token;

    private ConsulProtocol(ConsulResource resource, long waitMicros, String token) {
        this.resource = resource;
        this.waitMicros = waitMicros;
        this.token = token;
    }

    /** The instances of a service; {@code waitMicros} is how long a blocking query may take. */
    static ConsulProtocol forHealth(String service, long waitMicros, String token, EndpointEntryParser entries) {
        return new ConsulProtocol(new ConsulServiceHealth(service, entries), waitMicros, token);
    }

    /** The values under a prefix; {@code waitMicros} is how long a blocking query may take. */
    static ConsulProtocol forKeyValues(String prefix, long waitMicros, String token, EndpointEntryParser entries) {
        return new ConsulProtocol(new ConsulKeyValues(prefix, entries), waitMicros, token);
    }

    @Override
    public boolean watchReturnsCompleteList() {
        return true;
    }

    @Override
    public long maxQuietMicros() {
        return waitMicros + waitMicros / WAIT_JITTER_DIVISOR;
    }

    @Override
    public void readList(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        readList(connection, resource.listTarget(), listener);
    }

    /** Makes one blocking query. */
    @Override
    public void watch(RegistryConnection connection, ListPosition after, RegistryEventListener listener)
            throws IOException, InterruptedException {
        // By the documentation an index below 1 counts as none: such a query would never block.
        String target = after.revision() < 1 ? resource.listTarget() : blockingTarget(after.revision());
        readList(connection, target, listener);
    }

    private String blockingTarget(long index) {
        String target = resource.listTarget();
        char separator = target.indexOf('?') < 0 ? '?' : '&';
        return target + separator + "index=" + index + "&wait=" + waitMicros / MICROS_PER_MILLI + "ms";
    }

    @Override
    public void checkPosition(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        HttpHead head = get(connection, resource.indexTarget());
        connection.discardBody(head);
        ListPosition position = position(head);
        listener.onPositionChecked(position, position.revision(), UNKNOWN_COUNT);
    }

    private void readList(RegistryConnection connection, String target, RegistryEventListener listener)
            throws IOException, InterruptedException {
        HttpHead head = get(connection, target);
        ListPosition position = position(head);
        listener.onCompleteList(position, readEntries(connection, head));
    }

    private List<ListItem> readEntries(RegistryConnection connection, HttpHead head) throws IOException {
        if (head.status() == STATUS_NOT_FOUND) {
            connection.discardBody(head);
            return List.of();
        }
        List<ListItem> items =
                JsonObjects.read(connection.body(head), parser -> JsonObjects.readObjects(parser, resource::readEntry));
        items.removeIf(Objects::isNull); // Objects that are no entries.
        return items;
    }

    private HttpHead get(RegistryConnection connection, String target) throws IOException {
        int alsoAccepted = resource.isEmptyWhenNotFound() ? STATUS_NOT_FOUND : 0;
        HttpHead head = connection.send("GET", target, null, alsoAccepted, TOKEN_HEADER, token);
        if ("false".equalsIgnoreCase(head.headers().get("X-Consul-KnownLeader"))) {
            // The server may have been cut off from the others, and its data be old.
            connection.discardBody(head);
            throw new RegistryErrorException("no known leader");
        }
        return head;
    }

    private static ListPosition position(HttpHead head) throws IOException {
        String index = head.headers().get("X-Consul-Index");
        try {
            long number = Long.parseUnsignedLong(index == null ? "" : index);
            return new ListPosition(NO_HISTORY, 0, Math.max(0, number));
        } catch (NumberFormatException e) {
            throw new RegistryErrorException("no X-Consul-Index");
        }
    }
}
