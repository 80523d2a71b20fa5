package magpiehub.discovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.HostPort;

/**
 * What {@code deploy/registry.json} says. It owns the names, units, defaults and bounds of those settings. It
 * must never guess: a field that is unknown, of the wrong type or out of bounds is {@link ConfigurationException}
 * with the file's and the field's name. {@code docs/ops/registry.md} describes each field.
 *
 * @param kind etcd, consul-health or consul-kv
 * @param secret the etcd password or the Consul token; null if there is none
 * @param authorities PEM file of trusted authorities; null for the JDK's own
 * @param block how long a blocking query may take (us); as all times here
 * @param least the least time from one Consul answer's query to the next
 * @param checkEvery how long a watch may say nothing before the registry is asked where it stands
 * @param announce null if this router does not announce itself
 * @param listFile where the last list is kept; null if nowhere
 */
public record Options(
        String kind,
        List<String> endpoints,
        String prefix,
        String service,
        String user,
        String secret,
        boolean tls,
        Path authorities,
        int page,
        long block,
        long least,
        long timeout,
        long checkEvery,
        Endpoints.Options waits,
        Membership.Options membership,
        Announce announce,
        Path listFile,
        long listAge,
        long listEvery) {
    /**
     * A router's own entry.
     *
     * @param id empty for the router's name
     * @param address empty for the address that it listens at
     * @param ttl how long the entry outlives a router that has fallen silent (us)
     */
    public record Announce(String service, String prefix, String id, String address, long ttl) {}

    private static final long MS = 1000;

    /** The file's settings; null if there is no such file, and then the platform's discovery is used. */
    public static Options read(Path file) throws IOException {
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

    /** Settings out of their fields; files in them are meant from a folder. */
    static Options of(ConfigurationObject f, Path folder) throws IOException {
        Reading r = new Reading(f);
        String kind = r.text("kind", "");
        if (!Set.of("etcd", "consul-health", "consul-kv").contains(kind)) {
            throw r.wrong("kind", "must be etcd, consul-health or consul-kv");
        }
        boolean etcd = kind.equals("etcd");
        boolean health = kind.equals("consul-health");
        List<String> endpoints = r.addresses("endpoints");
        String prefix = r.text("prefix", "");
        String service = r.text("service", "");
        if (health && service.isEmpty()) {
            throw r.wrong("service", "must name the service whose instances are the engines");
        }
        if (!health && prefix.isEmpty()) {
            throw r.wrong("prefix", "must name the keys' common beginning, such as magpiehub/engines/");
        }
        if (kind.equals("consul-kv") && prefix.startsWith("/")) {
            throw r.wrong("prefix", "must not begin with a slash in Consul");
        }
        String user = r.text("user", null);
        if (user != null && !etcd) {
            throw r.wrong("user", "is for etcd; Consul takes a token_file");
        }
        String secret = r.secret(etcd ? "password_file" : "token_file", folder);
        if (etcd && (user == null) != (secret == null)) {
            throw r.wrong(user == null ? "user" : "password_file", "must be given with the other");
        }
        boolean tls = r.flag("tls");
        String authorities = r.text("ca_file", null);
        Options o = new Options(
                kind,
                endpoints,
                prefix,
                service,
                user,
                secret,
                tls,
                authorities == null ? null : folder.resolve(authorities),
                (int) r.number("page", 1000, 1, 100_000),
                r.micros("wait_ms", 30_000, 1000, 600_000),
                r.micros("least_interval_ms", 1000, 0, 60_000),
                r.micros("timeout_ms", 700, 50, 60_000),
                r.micros("check_every_ms", 600, 50, 600_000),
                new Endpoints.Options(
                        r.micros("backoff_base_ms", 100, 1, 60_000),
                        r.micros("backoff_cap_ms", 1500, 1, 600_000),
                        r.micros("reconnect_spread_ms", 1500, 0, 60_000)),
                membership(r.object("membership")),
                announce(r.object("announce"), f.map().containsKey("announce"), etcd),
                r.path("list_file", folder),
                r.micros("list_most_age_ms", 86_400_000, 1000, 1e12),
                r.micros("list_every_ms", 5000, 100, 3_600_000));
        r.end();
        if (o.waits.base() > o.waits.cap()) {
            throw r.wrong("backoff_base_ms", "must not be above backoff_cap_ms");
        }
        return o;
    }

    private static Membership.Options membership(Reading r) {
        Membership.Options o = new Membership.Options(
                r.number("removal_share", 0.3, 0, 1),
                (int) r.number("removal_least", 2, 0, 1e6),
                r.micros("confirm_within_ms", 1500, 10, 60_000),
                r.micros("flap_half_life_ms", 15_000, 0, 3_600_000),
                r.number("flap_suppress", 4, 1, 100),
                r.number("flap_reuse", 1.5, 0.1, 100),
                r.micros("flap_longest_ms", 60_000, 0, 3_600_000),
                r.number("flap_share", 0.2, 0, 1));
        r.end();
        if (o.reuse() > o.suppress()) {
            throw r.wrong("flap_reuse", "must not be above flap_suppress");
        }
        return o;
    }

    private static Announce announce(Reading r, boolean given, boolean etcd) {
        if (!given) {
            return null;
        }
        String service = r.text("service", "");
        String prefix = r.text("prefix", "");
        if (etcd && prefix.isEmpty()) {
            throw r.wrong("prefix", "must name the keys' common beginning, such as /magpiehub/routers/");
        }
        if (!etcd && service.isEmpty()) {
            throw r.wrong("service", "must name the service that routers are instances of");
        }
        String address = r.text("address", "");
        if (!address.isEmpty()) {
            HostPort.requireValid(address);
        }
        Announce a =
                new Announce(service, prefix, r.text("id", ""), address, r.micros("ttl_ms", 10_000, 1000, 3_600_000));
        r.end();
        return a;
    }

    /** One object of the file: fields asked for are known, all others are faults. */
    private static final class Reading {
        private final ConfigurationObject f;
        private final Set<String> known = new TreeSet<>();

        Reading(ConfigurationObject f) {
            this.f = f;
        }

        ConfigurationException wrong(String field, String why) {
            return new ConfigurationException(f.path() + "." + field + " " + why);
        }

        String text(String field, String absent) {
            known.add(field);
            String v = f.text(field, absent);
            if (v != null && v.chars().anyMatch(c -> c < ' ' || c == 0x7f)) {
                throw wrong(field, "must not hold control characters");
            }
            return v;
        }

        boolean flag(String field) {
            known.add(field);
            return f.flag(field, false);
        }

        double number(String field, double absent, double least, double most) {
            known.add(field);
            double v = f.number(field, absent);
            if (!(v >= least && v <= most)) {
                throw wrong(field, "must be from " + plain(least) + " to " + plain(most) + ", not " + plain(v));
            }
            return v;
        }

        private static String plain(double v) {
            return v == Math.rint(v) ? Long.toString((long) v) : Double.toString(v);
        }

        long micros(String field, double absentMs, double least, double most) {
            return Math.round(number(field, absentMs, least, most) * MS);
        }

        List<String> addresses(String field) {
            known.add(field);
            List<String> all = new ArrayList<>();
            for (String a : f.texts(field)) {
                try {
                    all.add(HostPort.requireValid(a));
                } catch (ConfigurationException e) {
                    throw wrong(field, e.getMessage());
                }
            }
            if (all.isEmpty()) {
                throw wrong(field, "must list at least one address:port");
            }
            return all;
        }

        Path path(String field, Path folder) {
            String v = text(field, null);
            return v == null ? null : folder.resolve(v);
        }

        /** A secret's first line. Guards against secrets that every account of the machine can read. */
        String secret(String field, Path folder) throws IOException {
            Path p = path(field, folder);
            if (p == null) {
                return null;
            }
            if (!Files.isReadable(p)) {
                throw wrong(field, "names no readable file: " + p);
            }
            if (Files.getFileStore(p).supportsFileAttributeView("posix")) {
                Set<PosixFilePermission> open = new TreeSet<>(Files.getPosixFilePermissions(p));
                open.retainAll(Set.of(
                        PosixFilePermission.OTHERS_READ,
                        PosixFilePermission.OTHERS_WRITE,
                        PosixFilePermission.GROUP_WRITE));
                if (!open.isEmpty()) {
                    throw wrong(field, "names a file that others may read or write: chmod 600 " + p);
                }
            }
            String s = Files.readString(p).lines().findFirst().orElse("");
            if (s.isEmpty() || s.chars().anyMatch(c -> c < ' ' || c == 0x7f)) {
                throw wrong(field, "names a file without a secret in its first line: " + p);
            }
            return s;
        }

        Reading object(String field) {
            known.add(field);
            return new Reading(f.object(field));
        }

        void end() {
            for (String field : f.map().keySet()) {
                if (!known.contains(field) && !field.startsWith("//")) {
                    throw wrong(field, "is not known; known are " + String.join(", ", known));
                }
            }
        }
    }
}
