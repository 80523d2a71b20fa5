package magpiehub.discovery;

/**
 * Settings of this router's registration.
 *
 * @param service the Consul service that the routers are instances of
 * @param prefix the common prefix of the routers' keys in etcd
 * @param id the entry's id; empty for the router's name
 * @param address the entry's address; empty for the address that the router listens on
 * @param ttlMicros how long the entry remains valid without a renewal
 */
public record RegistrationSettings(String service, String prefix, String id, String address, long ttlMicros) {}
