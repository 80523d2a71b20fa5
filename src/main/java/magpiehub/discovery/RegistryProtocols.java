package magpiehub.discovery;

/** Creates protocols from settings. */
final class RegistryProtocols {
    private RegistryProtocols() {}

    static RegistryProtocol create(DiscoverySettings settings, EndpointEntryParser parser) {
        return switch (settings.kind()) {
            case "etcd" -> new EtcdProtocol(
                    settings.prefix(), settings.pageSize(), settings.user(), settings.secret(), parser);
            case "consul-health" -> ConsulProtocol.forHealth(
                    settings.service(), settings.blockingQueryMicros(), settings.secret(), parser);
            default -> ConsulProtocol.forKeyValues(
                    settings.prefix(), settings.blockingQueryMicros(), settings.secret(), parser);
        };
    }
}
