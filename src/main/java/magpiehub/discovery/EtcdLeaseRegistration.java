package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import magpiehub.http.HttpHead;

/**
 * Registers a router in etcd as a key attached to a lease ({@code /v3/lease/grant}, {@code /v3/kv/put},
 * {@code /v3/lease/keepalive}, {@code /v3/lease/revoke}). etcd deletes the key when the lease expires or is revoked.
 */
final class EtcdLeaseRegistration implements RegistrationProtocol {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int STATUS_NOT_FOUND = 404;

    private final EtcdClient client;
    private final String key;
    private final String id;
    private final String address;
    private final long ttlMicros;
    private long leaseId;

    /**
     * Creates the registration of one router.
     *
     * @param prefix the common prefix of the routers' keys
     * @param address the address that the router listens on
     */
    EtcdLeaseRegistration(EtcdClient client, String prefix, String id, String address, long ttlMicros) {
        this.client = client;
        this.key = prefix + id;
        this.id = id;
        this.address = address;
        this.ttlMicros = ttlMicros;
    }

    @Override
    public long register(RegistryConnection connection) throws IOException {
        Lease lease = grantLease(connection);
        leaseId = lease.id;
        connection.discardBody(client.call(connection, "/v3/kv/put", putRequest()));
        return lease.ttlSeconds * MICROS_PER_SECOND;
    }

    private Lease grantLease(RegistryConnection connection) throws IOException {
        long ttlSeconds = (ttlMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND;
        byte[] request = JsonObjects.toBytes(generator -> generator.writeStringField("TTL", Long.toString(ttlSeconds)));
        HttpHead head = client.call(connection, "/v3/lease/grant", request);
        return JsonObjects.read(connection.body(head), Lease::read);
    }

    private byte[] putRequest() throws IOException {
        byte[] value = JsonObjects.toBytes(generator -> {
            generator.writeStringField("id", id);
            generator.writeStringField("host_port", address);
        });
        return JsonObjects.toBytes(generator -> {
            generator.writeBinaryField("key", key.getBytes(StandardCharsets.UTF_8));
            generator.writeBinaryField("value", value);
            generator.writeStringField("lease", Long.toString(leaseId));
        });
    }

    @Override
    public long keepAlive(RegistryConnection connection) throws IOException {
        HttpHead head = client.call(connection, "/v3/lease/keepalive", leaseRequest());
        Lease lease = JsonObjects.read(connection.body(head), EtcdLeaseRegistration::readKeepAliveResponse);
        if (lease.ttlSeconds <= 0) {
            // etcd reports a TTL of 0 for an expired lease, and the gateway omits zero values.
            throw new RegistrationLostException();
        }
        return lease.ttlSeconds * MICROS_PER_SECOND;
    }

    private static Lease readKeepAliveResponse(JsonParser parser) throws IOException {
        Lease lease = Lease.NONE;
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            if (name.equals("result")) {
                lease = Lease.read(parser);
            } else {
                parser.skipChildren();
            }
        }
        return lease;
    }

    @Override
    public void deregister(RegistryConnection connection) throws IOException {
        try {
            connection.discardBody(client.call(connection, "/v3/lease/revoke", leaseRequest()));
        } catch (HttpStatusException e) {
            // A lease that is not found has expired, and etcd has deleted its key.
            if (e.statusCode() != STATUS_NOT_FOUND) {
                throw e;
            }
        }
    }

    private byte[] leaseRequest() throws IOException {
        return JsonObjects.toBytes(generator -> generator.writeStringField("ID", Long.toString(leaseId)));
    }

    /** A lease in a response from etcd; values that the response omits are 0. */
    private record Lease(long id, long ttlSeconds) {
        static final Lease NONE = new Lease(0, 0);

        static Lease read(JsonParser parser) throws IOException {
            long id = 0;
            long ttlSeconds = 0;
            JsonObjects.expectObject(parser);
            for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
                switch (name) {
                    case "ID" -> id = Long.parseLong(parser.getValueAsString());
                    case "TTL" -> ttlSeconds = Long.parseLong(parser.getValueAsString());
                    default -> parser.skipChildren();
                }
            }
            return new Lease(id, ttlSeconds);
        }
    }
}
