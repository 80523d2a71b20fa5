package magpiehub.discovery;

import java.io.IOException;

/**
 * Registers a router in Consul as an instance of a service with a TTL check ({@code /v1/agent/service/register},
 * {@code /v1/agent/check/pass}, {@code /v1/agent/service/deregister}). Consul removes the instance once its check has
 * been critical for a minute.
 */
final class ConsulServiceRegistration implements RegistrationProtocol {
    private static final String DEREGISTER_AFTER = "1m";
    private static final long MICROS_PER_MILLI = 1000;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_INTERNAL_ERROR = 500;
    private static final byte[] NO_BODY = {};

    private final String service;
    private final String id;
    private final String address;
    private final long ttlMicros;
    private final String token;

    /**
     * Creates the registration of one instance of a service.
     *
     * @param token the access token, or null if the agent requires none
     */
    ConsulServiceRegistration(String service, String id, String address, long ttlMicros, String token) {
        this.service = service;
        this.id = id;
        this.address = address;
        this.ttlMicros = ttlMicros;
        this.token = token;
    }

    @Override
    public long register(RegistryConnection connection) throws IOException {
        put(connection, "/v1/agent/service/register", registerRequest());
        return ttlMicros;
    }

    private byte[] registerRequest() throws IOException {
        int colon = address.lastIndexOf(':');
        return JsonObjects.toBytes(generator -> {
            generator.writeStringField("ID", id);
            generator.writeStringField("Name", service);
            generator.writeStringField("Address", address.substring(0, colon));
            generator.writeNumberField("Port", Integer.parseInt(address.substring(colon + 1)));
            generator.writeObjectFieldStart("Check");
            generator.writeStringField("CheckID", "service:" + id);
            generator.writeStringField("TTL", ttlMicros / MICROS_PER_MILLI + "ms");
            generator.writeStringField("Status", "passing");
            generator.writeStringField("DeregisterCriticalServiceAfter", DEREGISTER_AFTER);
            generator.writeEndObject();
        });
    }

    @Override
    public long keepAlive(RegistryConnection connection) throws IOException {
        put(connection, "/v1/agent/check/pass/service:" + PercentEncoding.encode(id), NO_BODY);
        return ttlMicros;
    }

    @Override
    public void deregister(RegistryConnection connection) throws IOException {
        put(connection, "/v1/agent/service/deregister/" + PercentEncoding.encode(id), NO_BODY);
    }

    /** @throws RegistrationLostException if the agent does not know the instance */
    private void put(RegistryConnection connection, String path, byte[] body) throws IOException {
        try {
            connection.discardBody(connection.send("PUT", path, body, 0, ConsulProtocol.TOKEN_HEADER, token));
        } catch (HttpStatusException e) {
            if (isUnknownInstance(e)) {
                throw new RegistrationLostException();
            }
            throw e;
        }
    }

    /** Current agents respond with 404; agents before 1.12 respond with 500 and a message about the missing check. */
    private static boolean isUnknownInstance(HttpStatusException failure) {
        return failure.statusCode() == STATUS_NOT_FOUND
                || (failure.statusCode() == STATUS_INTERNAL_ERROR
                        && failure.getMessage().contains("TTL"));
    }
}
