package magpiehub.discovery;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import magpiehub.http.HttpHead;

/**
 * Reads and watches endpoint lists in Consul through its HTTP API, version 1.
 *
 * <p>Follows Consul's documentation of blocking queries, {@code /v1/health/service} and {@code /v1/kv}: {@code index}
 * and {@code wait} with up to a sixteenth of jitter, an index that must be above 0 and must not decrease,
 * {@code X-Consul-KnownLeader}, the token in {@code X-Consul-Token}, and {@code Retry-After} on 429. Reads use the
 * default consistency mode.
 *
 * <p>Each response is the complete list, so no change can be missed between two responses. Complete lists are
 * expensive, so the caller keeps a minimum interval between queries. Not supported: tags, weights, near, stale and
 * cached reads, prepared queries, and more than one data centre.
 */
final class ConsulProtocol implements RegistryProtocol {
    /** The header that carries the access token. */
    static final String TOKEN_HEADER = "X-Consul-Token";

    private static final int STATUS_NOT_FOUND = 404;
    private static final long MICROS_PER_MILLI = 1000;

    /** Consul extends a wait by up to this fraction of it, so that clients do not all return at once. */
    private static final int WAIT_JITTER_DIVISOR = 16;

    /** Consul's responses do not identify the history that an index belongs to. */
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

    /**
     * Creates a protocol that reads the instances of a service.
     *
     * @param waitMicros the longest wait of a blocking query, before Consul's jitter
     */
    static ConsulProtocol forHealth(String service, long waitMicros, String token, EndpointEntryParser entries) {
        return new ConsulProtocol(new ConsulServiceHealth(service, entries), waitMicros, token);
    }

    /**
     * Creates a protocol that reads the values under a key prefix.
     *
     * @param waitMicros the longest wait of a blocking query, before Consul's jitter
     */
    static ConsulProtocol forKeyValues(String prefix, long waitMicros, String token, EndpointEntryParser entries) {
        return new ConsulProtocol(new ConsulKeyValues(prefix, entries), waitMicros, token);
    }

    @Override
    public boolean watchReturnsCompleteList() {
        return true;
    }

    @Override
    public long maxWatchSilenceMicros() {
        return waitMicros + waitMicros / WAIT_JITTER_DIVISOR;
    }

    @Override
    public void readList(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        readList(connection, resource.listTarget(), listener);
    }

    /** Sends one blocking query. */
    @Override
    public void watch(RegistryConnection connection, ListPosition after, RegistryEventListener listener)
            throws IOException, InterruptedException {
        // Consul ignores an index below 1, so a query with one would never block.
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
        items.removeIf(Objects::isNull); // Objects that are not entries, such as folders.
        return items;
    }

    private HttpHead get(RegistryConnection connection, String target) throws IOException {
        int alsoAccepted = resource.isEmptyWhenNotFound() ? STATUS_NOT_FOUND : 0;
        HttpHead head = connection.send("GET", target, null, alsoAccepted, TOKEN_HEADER, token);
        if ("false".equalsIgnoreCase(head.headers().get("X-Consul-KnownLeader"))) {
            // The server may be partitioned from the cluster and serve stale data.
            connection.discardBody(head);
            throw new RegistryErrorException("Consul server has no known leader");
        }
        return head;
    }

    private static ListPosition position(HttpHead head) throws IOException {
        String index = head.headers().get("X-Consul-Index");
        try {
            long number = Long.parseUnsignedLong(index == null ? "" : index);
            return new ListPosition(NO_HISTORY, 0, Math.max(0, number));
        } catch (NumberFormatException e) {
            throw new RegistryErrorException("response has no valid X-Consul-Index header");
        }
    }
}
