package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.ConfigurationObject;

/**
 * A randomized fault test of the registry client. Clients watch a fake registry whose changes, compactions, faults and
 * restores from older data are determined by a seed, and all their reports are compared with a model.
 *
 * <p>Usage: {@code RegistryFaultInjection SEED [ENDPOINTS CHANGES CLIENTS COMPLETE]}. The last line of the output ends
 * with {@code ok} or {@code short}.
 */
public final class RegistryFaultInjection {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long SETTLE_MICROS = 5 * MICROS_PER_SECOND;
    /** The maximum time until a change reaches a client. */
    private static final long MAX_LAG_MILLIS = 3000;
    /** The minimum time over which clients that lost the registry together must reconnect. */
    private static final long MIN_SPREAD_MILLIS = 750;
    /** The spread is checked only with enough clients for a meaningful percentile. */
    private static final int MIN_CLIENTS_FOR_SPREAD = 50;

    private static final int REGISTRY_ENDPOINTS = 3;
    private static final int EVENTS_PER_FRAGMENT = 10;
    private static final long QUIET_MILLIS = 1000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MonotonicClock CLOCK = MonotonicClock.SYSTEM;

    /**
     * The size of a run.
     *
     * @param changes the minimum number of changes
     * @param clients the number of clients without a dispatcher
     * @param completeClients the number of clients with a dispatcher and an upstream pool
     * @param settleMicros how long the clients may take at the end to agree with the registry
     */
    record Scale(int endpoints, int changes, int clients, int completeClients, long settleMicros) {}

    /**
     * The result of a run.
     *
     * @param line the measurements in one line
     * @param exceeded the bounds that were violated
     * @param wrong the number of updates missed, repeated or regressed
     */
    record Outcome(String line, List<String> exceeded, long wrong) {}

    /** Measurements by name, and the bounds that were violated. */
    private record Measurements(Map<String, String> values, List<String> exceeded) {
        private Measurements() {
            this(new TreeMap<>(), new ArrayList<>());
        }
    }

    private final boolean etcd;
    private final long seed;
    private final Scale scale;
    private final FaultTally tally;
    private final FakeRegistry registry;
    private final RegistryModel model;
    private final List<VerifiedRegistryClient> clients = new ArrayList<>();

    private RegistryFaultInjection(boolean etcd, long seed, Scale scale, FaultTally tally) throws IOException {
        this.etcd = etcd;
        this.seed = seed;
        this.scale = scale;
        this.tally = tally;
        this.registry = new FakeRegistry(REGISTRY_ENDPOINTS);
        this.registry.etcd.eventsPerFragment = EVENTS_PER_FRAGMENT;
        this.model = new RegistryModel(registry, CLOCK);
    }

    /** Runs the faults with etcd and then with Consul. */
    static Outcome run(long seed, Scale scale) throws Exception {
        FaultTally tally = new FaultTally();
        Measurements all = new Measurements();
        // Runs them in sequence, so that they do not affect each other's measurements.
        for (boolean etcd : new boolean[] {true, false}) {
            Measurements measured = new RegistryFaultInjection(etcd, seed, scale, tally).measure();
            all.values.putAll(measured.values);
            all.exceeded.addAll(measured.exceeded);
        }
        StringBuilder line = new StringBuilder("proof registry seed=" + seed + " engines=" + scale.endpoints + " views="
                + scale.clients + " whole=" + scale.completeClients + " missed=" + tally.missed + " repeated="
                + tally.repeated + " regressed=" + tally.regressed + " samples=" + tally.samples);
        all.values.forEach(
                (name, value) -> line.append(' ').append(name).append('=').append(value));
        return new Outcome(line.toString(), all.exceeded, tally.total());
    }

    private Measurements measure() throws Exception {
        for (int i = 0; i < scale.endpoints; i++) {
            model.put("e" + i, "Ready", 1 + i % 60_000);
        }
        startClients();
        PollingBaseline baseline = startBaseline();
        long startedAt = CLOCK.micros();
        settle(2 * scale.settleMicros);
        long firstListMicros = CLOCK.micros() - startedAt;
        FaultScript script = new FaultScript(model, CLOCK, seed, scale.endpoints, etcd, clients);
        script.run(scale.changes);
        settle(scale.settleMicros);
        // Measures the cost of watching while nothing changes.
        long quietBytes = -bytesRead();
        long quietBaselineBytes = -baseline.bytesRead.get();
        FaultScript.pause(QUIET_MILLIS);
        quietBytes += bytesRead();
        quietBaselineBytes += baseline.bytesRead.get();
        baseline.stopPolling();
        long cpuNanos = cpuNanos();
        long bytes = bytesRead();
        List<Long> lags = stopClients();

        Measurements result = new Measurements();
        String prefix = etcd ? "etcd" : "consul";
        result.values.put(prefix + "_changes", Integer.toString(script.changesMade()));
        result.values.put(prefix + "_first_list_ms", Long.toString(firstListMicros / 1000));
        result.values.put(prefix + "_bytes_of_poll", ratio("%.3f", bytes, baseline.bytesRead.get()));
        result.values.put(prefix + "_quiet_bytes_of_poll", ratio("%.4f", quietBytes, quietBaselineBytes));
        result.values.put(prefix + "_cpu_of_poll", ratio("%.3f", cpuNanos, baseline.cpuNanos));
        measureLags(prefix, lags, result);
        measureSpread(prefix, script.reconnectsMicros(), result);
        registry.close();
        return result;
    }

    private void startClients() throws Exception {
        Path directory = Files.createTempDirectory("proof-registry");
        for (int i = 0; i < scale.clients + scale.completeClients; i++) {
            boolean complete = i >= scale.clients;
            String kind = etcd ? "etcd" : i % 2 == 0 ? "consul-health" : "consul-kv";
            DiscoverySettings settings = settings(kind, complete ? directory.resolve("list" + i) : null);
            clients.add(new VerifiedRegistryClient(model, tally, CLOCK, settings, seed * 1000 + i, complete));
        }
    }

    private PollingBaseline startBaseline() throws IOException {
        DiscoverySettings settings = settings(etcd ? "etcd" : "consul-health", null);
        EndpointEntryParser parser = EndpointEntryParser.strict(RegistryFixtures.site(), 0);
        PollingBaseline baseline = new PollingBaseline(RegistryProtocols.create(settings, parser), registry, CLOCK);
        baseline.start();
        return baseline;
    }

    private DiscoverySettings settings(String kind, Path cacheFile) throws IOException {
        String json = "{\"kind\":\"" + kind + "\",\"endpoints\":[\"" + String.join("\",\"", registry.addresses())
                + "\"],\"prefix\":\"" + FakeRegistry.PREFIX + "\",\"service\":\"engines\""
                + (cacheFile == null ? "" : ",\"list_file\":\"" + cacheFile + "\"") + "}";
        return DiscoverySettings.of(ConfigurationObject.parse(json.getBytes(UTF_8), "registry.json"), Path.of("."));
    }

    /** Waits until all clients' lists equal the registry's, at most for the given time. */
    private void settle(long maxMicros) {
        long end = CLOCK.micros() + maxMicros;
        Map<String, Integer> expected = model.currentCells();
        while (CLOCK.micros() < end && clients.stream().anyMatch(client -> client.countDifferences(expected) > 0)) {
            FaultScript.pause(50);
        }
    }

    /** Returns the clients without a dispatcher, whose cost is measured. */
    private List<VerifiedRegistryClient> measuredClients() {
        return clients.subList(0, scale.clients);
    }

    private long bytesRead() {
        return measuredClients().stream()
                .mapToLong(client -> client.client.bytesRead())
                .sum();
    }

    private long cpuNanos() {
        long nanos = 0;
        for (VerifiedRegistryClient client : measuredClients()) {
            nanos -= client.checkingNanos.get();
            for (Thread thread : client.threads) {
                nanos += Math.max(0, THREADS.getThreadCpuTime(thread.getId()));
            }
        }
        return nanos;
    }

    /** Stops the clients, counts the differences between their lists and the registry's, and returns all lags. */
    private List<Long> stopClients() {
        List<Long> lagsMicros = new ArrayList<>();
        Map<String, Integer> expected = model.currentCells();
        for (VerifiedRegistryClient client : clients) {
            lagsMicros.addAll(client.lagsMicros());
            int differences = client.countDifferences(expected);
            tally.missed.addAndGet(differences);
            boolean suspicious = differences > 0
                    || client.log.contains(" late ")
                    || client.log.contains(" regressed ")
                    || client.log.contains("sample-failed");
            if (suspicious && System.getenv("PROOF_LOG") != null) {
                StringBuilder counts = new StringBuilder("counts");
                client.log
                        .counts()
                        .forEach((name, count) ->
                                counts.append(' ').append(name).append('=').append(count));
                System.err.println(counts + "\n" + client.log);
            }
            client.client.stop();
        }
        return lagsMicros;
    }

    /** Formats the cost per client relative to the baseline's. */
    private String ratio(String format, long total, long baseline) {
        return String.format(Locale.ROOT, format, (double) total / scale.clients / Math.max(1, baseline));
    }

    private static void measureLags(String prefix, List<Long> lagsMicros, Measurements result) {
        long[] millis = sortedMillis(lagsMicros);
        long max = millis[millis.length - 1];
        result.values.put(
                prefix + "_lag_ms", millis[millis.length / 2] + "/" + millis[(int) (millis.length * 0.99)] + "/" + max);
        if (max >= MAX_LAG_MILLIS) {
            result.exceeded.add(prefix + " lag");
        }
    }

    private void measureSpread(String prefix, List<Long> reconnectsMicros, Measurements result) {
        long[] millis = sortedMillis(reconnectsMicros);
        long width = millis[(int) (millis.length * 0.95)] - millis[(int) (millis.length * 0.05)];
        result.values.put(prefix + "_spread_ms", Long.toString(width));
        boolean tooNarrow = clients.size() >= MIN_CLIENTS_FOR_SPREAD && width < MIN_SPREAD_MILLIS;
        if (millis[0] <= 0 || tooNarrow) {
            result.exceeded.add(prefix + " spread");
        }
    }

    private static long[] sortedMillis(List<Long> micros) {
        return micros.stream().mapToLong(each -> each / 1000).sorted().toArray();
    }

    public static void main(String[] args) throws Exception {
        int[] sizes = {1000, 5000, 100, 12};
        for (int i = 1; i < args.length; i++) {
            sizes[i - 1] = Integer.parseInt(args[i]);
        }
        Scale scale = new Scale(sizes[0], sizes[1], sizes[2], sizes[3], SETTLE_MICROS);
        Outcome outcome = run(Long.parseLong(args[0]), scale);
        boolean ok = outcome.exceeded.isEmpty() && outcome.wrong == 0;
        if (!outcome.exceeded.isEmpty()) {
            System.out.println("out of bounds: " + String.join(", ", outcome.exceeded));
        }
        System.out.println(outcome.line + (ok ? " ok" : " short"));
        System.exit(ok ? 0 : 1);
    }
}
