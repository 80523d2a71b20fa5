package magpiehub.discovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;

/**
 * The settings in {@code deploy/registry.json}: which registry the endpoint list is read from, and how it is
 * watched. {@code docs/ops/registry.md} describes each field. An unknown field, a wrong type or a value out
 * of range causes a {@link ConfigurationException} that names the file and the field.
 *
 * @param kind etcd, consul-health or consul-kv
 * @param endpoints the registry's endpoints as {@code address:port}, at least one
 * @param prefix the common prefix of the endpoint entries' keys
 * @param service the Consul service whose instances are the endpoints
 * @param user the etcd user; null if etcd needs no authentication
 * @param secret the etcd password or the Consul token; null if there is none
 * @param tls whether connections to the registry use TLS
 * @param trustedAuthorities PEM file of trusted certificate authorities; null for the JDK's own
 * @param pageSize the number of keys per etcd range request
 * @param blockingQueryMicros the maximum duration of a Consul blocking query
 * @param minQueryIntervalMicros the minimum time from the start of one Consul query to the start of the next
 * @param timeoutMicros the response timeout of a registry call
 * @param checkIntervalMicros how long a watch may be idle before the registry is asked for its position
 * @param backoff the backoff after failed registry calls
 * @param membership when removals must be confirmed and flapping endpoints are suppressed
 * @param registration the router's own entry in the registry; null if this router does not register itself
 * @param cacheFile the file that caches the last list; null for no cache
 * @param maxCacheAgeMicros the maximum age at which a cached list is used
 * @param cacheIntervalMicros the minimum time between two writes of the cache file
 */
public record DiscoverySettings(
        String kind,
        List<String> endpoints,
        String prefix,
        String service,
        String user,
        String secret,
        boolean tls,
        Path trustedAuthorities,
        int pageSize,
        long blockingQueryMicros,
        long minQueryIntervalMicros,
        long timeoutMicros,
        long checkIntervalMicros,
        BackoffSettings backoff,
        MembershipDamping.Settings membership,
        RegistrationSettings registration,
        Path cacheFile,
        long maxCacheAgeMicros,
        long cacheIntervalMicros) {
    private static final String ETCD = "etcd";
    private static final String CONSUL_HEALTH = "consul-health";
    private static final String CONSUL_KV = "consul-kv";

    /** Reads the file; returns null if it does not exist, in which case the platform's discovery is used. */
    public static DiscoverySettings read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        String name = file.getFileName().toString();
        try {
            return of(
                    ConfigurationObject.parse(Files.readAllBytes(file), name),
                    file.toAbsolutePath().getParent());
        } catch (ConfigurationException e) {
            throw e.getMessage().startsWith(name) ? e : new ConfigurationException(name + ": " + e.getMessage());
        }
    }

    /** Reads the settings from a parsed file; relative paths in it are resolved against {@code directory}. */
    public static DiscoverySettings of(ConfigurationObject fields, Path directory) throws IOException {
        RegistrySettingsReader reader = new RegistrySettingsReader(fields);
        String kind = reader.text("kind", "");
        if (!Set.of(ETCD, CONSUL_HEALTH, CONSUL_KV).contains(kind)) {
            throw reader.invalid("kind", "must be etcd, consul-health or consul-kv");
        }
        boolean etcd = kind.equals(ETCD);
        List<String> endpoints = reader.addresses("endpoints");
        String prefix = reader.text("prefix", "");
        String service = reader.text("service", "");
        checkSource(reader, kind, prefix, service);
        String user = reader.text("user", null);
        if (user != null && !etcd) {
            throw reader.invalid("user", "applies to etcd only; for Consul, set token_file");
        }
        String secret = reader.secret(etcd ? "password_file" : "token_file", directory);
        if (etcd && (user == null) != (secret == null)) {
            throw reader.invalid(
                    user == null ? "user" : "password_file", "is missing; user and password_file must be set together");
        }
        DiscoverySettings settings = new DiscoverySettings(
                kind,
                endpoints,
                prefix,
                service,
                user,
                secret,
                reader.flag("tls"),
                reader.path("ca_file", directory),
                (int) reader.number("page", 1000, 1, 100_000),
                reader.micros("wait_ms", 30_000, 1000, 600_000),
                reader.micros("least_interval_ms", 1000, 0, 60_000),
                reader.micros("timeout_ms", 700, 50, 60_000),
                reader.micros("check_every_ms", 600, 50, 600_000),
                backoff(reader),
                membership(reader.object("membership")),
                registration(reader.object("announce"), reader.has("announce"), etcd),
                reader.path("list_file", directory),
                reader.micros("list_most_age_ms", 86_400_000, 1000, 1e12),
                reader.micros("list_every_ms", 5000, 100, 3_600_000));
        reader.rejectUnknownFields();
        if (settings.backoff.baseMicros() > settings.backoff.capMicros()) {
            throw reader.invalid("backoff_base_ms", "must not be above backoff_cap_ms");
        }
        return settings;
    }

    /** Checks that the fields name the key prefix or the service under which the registry stores the entries. */
    private static void checkSource(RegistrySettingsReader reader, String kind, String prefix, String service) {
        boolean health = kind.equals(CONSUL_HEALTH);
        if (health && service.isEmpty()) {
            throw reader.invalid("service", "must name the service whose instances are the engines");
        }
        if (!health && prefix.isEmpty()) {
            throw reader.invalid("prefix", "must name the common prefix of the keys, such as magpiehub/engines/");
        }
        if (kind.equals(CONSUL_KV) && prefix.startsWith("/")) {
            throw reader.invalid("prefix", "must not begin with a slash in Consul");
        }
    }

    private static BackoffSettings backoff(RegistrySettingsReader reader) {
        return new BackoffSettings(
                reader.micros("backoff_base_ms", 100, 1, 60_000),
                reader.micros("backoff_cap_ms", 1500, 1, 600_000),
                reader.micros("reconnect_spread_ms", 1500, 0, 60_000));
    }

    private static MembershipDamping.Settings membership(RegistrySettingsReader reader) {
        MembershipDamping.Settings settings = new MembershipDamping.Settings(
                reader.number("removal_share", 0.3, 0, 1),
                (int) reader.number("removal_least", 2, 0, 1e6),
                reader.micros("confirm_within_ms", 1500, 10, 60_000),
                reader.micros("flap_half_life_ms", 15_000, 0, 3_600_000),
                reader.number("flap_suppress", 4, 1, 100),
                reader.number("flap_reuse", 1.5, 0.1, 100),
                reader.micros("flap_longest_ms", 60_000, 0, 3_600_000),
                reader.number("flap_share", 0.2, 0, 1));
        reader.rejectUnknownFields();
        if (settings.reuseThreshold() > settings.suppressThreshold()) {
            throw reader.invalid("flap_reuse", "must not be above flap_suppress");
        }
        return settings;
    }

    private static RegistrationSettings registration(RegistrySettingsReader reader, boolean present, boolean etcd) {
        if (!present) {
            return null;
        }
        String service = reader.text("service", "");
        String prefix = reader.text("prefix", "");
        if (etcd && prefix.isEmpty()) {
            throw reader.invalid("prefix", "must name the common prefix of the keys, such as /magpiehub/routers/");
        }
        if (!etcd && service.isEmpty()) {
            throw reader.invalid("service", "must name the service that the routers are instances of");
        }
        String address = reader.text("address", "");
        if (!address.isEmpty()) {
            HostPort.requireValid(address);
        }
        RegistrationSettings settings = new RegistrationSettings(
                service, prefix, reader.text("id", ""), address, reader.micros("ttl_ms", 10_000, 1000, 3_600_000));
        reader.rejectUnknownFields();
        return settings;
    }
}
