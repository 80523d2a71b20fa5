package magpiehub.discovery;

/**
 * How this router registers itself.
 *
 * @param service the Consul service that routers are instances of
 * @param prefix the common prefix of the routers' keys in etcd
 * @param id empty for the router's name
 * @param address empty for the address that the router listens at
 * @param ttlMicros how long the registration outlives a router that has fallen silent
 */
public record RegistrationSettings(String service, String prefix, String id, String address, long ttlMicros) {}
