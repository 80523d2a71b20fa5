package magpiehub.lab;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A scenario read from a JSON file: sites, engines, requests, paths, and faults with their times and targets. Random
 * choices are derived from the seed: numbers given as [from, to], and the sites "any" (the same one for the whole run)
 * and "other". Files with unknown content are rejected.
 */
final class Scenario {
    /** Thrown for an invalid file or argument; the message names the location. */
    static final class InvalidScenarioException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidScenarioException(String message) {
            super(message);
        }
    }

    /** A failure domain: the number of its routers and engines, and the request rate of its own clients (1/s). */
    record Site(String name, int routers, int engines, double rate) {}

    /** A request class; {@code part} is its weight, prompt and output are inclusive ranges in tokens. */
    record RequestClass(
            String name, double part, long aimMs, long deadlineMs, double gain, int[] prompt, int[] output) {}

    /** A tenant with its share of the requests and its quota share. */
    record Tenant(String name, double share) {}

    /**
     * The request mix.
     *
     * @param turns mean number of turns of a conversation
     * @param prefixes number of shared prompt prefixes, chosen with a Zipf distribution
     * @param zipf exponent of that distribution
     * @param retries how often a client retries after a rejection
     */
    record Requests(
            List<RequestClass> classes,
            List<Tenant> tenants,
            double turns,
            int prefixes,
            int prefixTokens,
            double zipf,
            int retries) {}

    /** One-way delays: {@code delayMs} within a site, {@code crossDelayMs} in addition between sites. */
    record Paths(double delayMs, double jitterMs, double crossDelayMs) {}

    /** Resource limits in the routers' configuration; {@code probes} allows health checks of engines. */
    record Routers(int memoryMb, int sockets, boolean probes) {}

    /** One fault; docs/ops/lab.md lists the kinds. {@code at} counts from the first request (ms); site -1 means all. */
    record Fault(long at, String kind, int site, int to, String way, String paths, String target, double value) {
        /** A readable description. */
        String text(List<Site> sites) {
            return kind
                    + (target == null ? "" : " " + target)
                    + (site < 0 ? "" : " " + sites.get(site).name())
                    + (to < 0 ? "" : " to " + sites.get(to).name())
                    + (way == null ? "" : " " + way)
                    + (paths == null ? "" : " (" + paths + ")")
                    + (value == 0 ? "" : " " + value);
        }
    }

    private record File(
            String name,
            double seconds,
            List<Site> sites,
            EngineModel.Parameters engine,
            Requests requests,
            Paths paths,
            Routers routers,
            @JsonProperty("listLateMs") double listLateMs,
            @JsonProperty("noticeMs") double noticeMs,
            List<JsonNode> faults) {}

    private static final Set<String> FIELDS = Set.of("at", "do", "site", "to", "way", "paths", "target", "value");
    /** All kinds of faults. */
    private static final List<String> KINDS = List.of(
            "kill",
            "stop",
            "continue",
            "term",
            "start",
            "cut",
            "blackhole",
            "reset",
            "slow",
            "throttle",
            "heal",
            "engine-slow",
            "engine-errors",
            "engine-silent",
            "engine-heard",
            "drain",
            "list-late",
            "list-torn",
            "list-down",
            "list-up",
            "list-gone",
            "list-ready",
            "replace",
            "say");

    private static final Set<String> VALUED = Set.of("slow", "throttle", "engine-slow", "engine-errors", "list-late");
    private static final ObjectMapper JSON = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    final String name;
    final long seed;
    final long lengthMs;
    final List<Site> sites;
    final EngineModel.Parameters engine;
    final Requests requests;
    final Paths paths;
    final Routers routers;
    final long listLateMs;
    /** How long a load balancer keeps sending to a router whose health checks fail (ms). */
    final long noticeMs;

    final List<Fault> faults;
    private final int drawn;
    private final int other;

    private Scenario(File f, long seed) {
        this.name = f.name;
        this.seed = seed;
        this.lengthMs = Math.round(f.seconds * 1000);
        this.sites = List.copyOf(f.sites);
        this.engine = f.engine;
        this.requests = f.requests;
        this.paths = f.paths;
        this.routers = f.routers;
        this.listLateMs = Math.round(f.listLateMs);
        this.noticeMs = Math.round(f.noticeMs);
        check();
        SplittableRandom random = new SplittableRandom(seed);
        drawn = random.nextInt(sites.size());
        other = sites.size() == 1 ? drawn : (drawn + 1 + random.nextInt(sites.size() - 1)) % sites.size();
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < f.faults.size(); i++) {
            all.add(fault(f.faults.get(i), "faults[" + i + "]", random.split()));
        }
        all.sort(Comparator.comparingLong(Fault::at));
        faults = List.copyOf(all);
    }

    /** Reads a file; random choices are derived from the seed. */
    static Scenario read(Path file, long seed) throws IOException {
        return read(Files.readString(file), seed);
    }

    static Scenario read(String json, long seed) throws IOException {
        try {
            return new Scenario(JSON.readValue(json, File.class), seed);
        } catch (JsonProcessingException e) {
            throw new InvalidScenarioException(e.getOriginalMessage()
                    + (e.getLocation() == null
                            ? ""
                            : " (line " + e.getLocation().getLineNr() + ")"));
        }
    }

    private void check() {
        need(lengthMs >= 1_000 && lengthMs <= 600_000, "seconds must be 1 to 600");
        need(!sites.isEmpty() && sites.size() <= 8, "sites must be 1 to 8");
        for (Site s : sites) {
            need(
                    s.routers >= 0 && s.routers <= 60 && s.engines >= 0 && s.engines <= 100 && s.rate >= 0,
                    "sites: " + s.name + " must have at most 60 routers and 100 engines");
        }
        need(sites.stream().map(Site::name).distinct().count() == sites.size(), "sites must have distinct names");
        need(!requests.classes.isEmpty(), "requests.classes is empty");
        for (RequestClass k : requests.classes) {
            need(
                    k.deadlineMs > 0
                            && k.aimMs > 0
                            && k.prompt.length == 2
                            && k.output.length == 2
                            && k.prompt[0] > 0
                            && k.output[0] > 0
                            && k.prompt[1] >= k.prompt[0]
                            && k.output[1] >= k.output[0],
                    "requests.classes: " + k.name
                            + " needs deadlineMs, aimMs, prompt [from, to] and output [from, to] above 0");
        }
        need(
                engine.slots() > 0
                        && engine.stepMs() > 0
                        && engine.coldMs() > 0
                        && engine.start() > 0
                        && engine.chunk() > 0,
                "engine: slots, stepMs, chunk, coldMs and start must be above 0");
    }

    private static void need(boolean holds, String otherwise) {
        if (!holds) {
            throw new InvalidScenarioException(otherwise);
        }
    }

    private Fault fault(JsonNode n, String at, SplittableRandom random) {
        n.fieldNames().forEachRemaining(f -> need(FIELDS.contains(f), at + " has an unknown field " + f));
        String kind = n.path("do").asText("");
        need(KINDS.contains(kind), at + ".do must be one of " + String.join(", ", KINDS));
        need(n.has("at"), at + ".at is missing");
        need(n.has("value") || !VALUED.contains(kind), at + ".value is missing for " + kind);
        String way = n.path("way").asText("both");
        need(Set.of("both", "forth", "back").contains(way), at + ".way must be both, forth or back");
        String paths = n.path("paths").asText("all");
        need(
                Set.of("all", "engines", "clients", "discovery").contains(paths),
                at + ".paths must be all, engines, clients or discovery");
        boolean path =
                Set.of("cut", "blackhole", "reset", "slow", "throttle", "heal").contains(kind);
        String target = n.path("target").asText(null);
        need(
                !Set.of("kill", "stop", "continue", "term", "start").contains(kind) || target != null,
                at + ".target is missing: site, engines, routers or a router as NAME-1");
        need(!kind.equals("say") || target != null, at + ".target is missing: the console command");
        double when = number(n.get("at"), at + ".at", random);
        need(when >= 0 && when * 1000 <= lengthMs, at + ".at is outside the run");
        return new Fault(
                Math.round(when * 1000),
                kind,
                site(n, "site", at),
                site(n, "to", at),
                kind.equals("cut") ? way : null,
                path ? paths : null,
                target,
                n.has("value") ? number(n.get("value"), at + ".value", random) : 0);
    }

    /** The index of the site under a key, or -1 for all sites if it is absent. */
    private int site(JsonNode n, String key, String at) {
        if (!n.has(key)) {
            return -1;
        }
        String s = n.get(key).asText();
        if (s.equals("any")) {
            return drawn;
        }
        if (s.equals("other")) {
            return other;
        }
        for (int i = 0; i < sites.size(); i++) {
            if (sites.get(i).name().equals(s)) {
                return i;
            }
        }
        throw new InvalidScenarioException(at + "." + key + " names an unknown site: " + s);
    }

    private static double number(JsonNode n, String at, SplittableRandom random) {
        if (n.isNumber()) {
            return n.asDouble();
        }
        if (n.isArray()
                && n.size() == 2
                && n.get(0).isNumber()
                && n.get(1).isNumber()
                && n.get(0).asDouble() <= n.get(1).asDouble()) {
            return n.get(0).asDouble()
                    + random.nextDouble() * (n.get(1).asDouble() - n.get(0).asDouble());
        }
        throw new InvalidScenarioException(at + " must be a number or [from, to]");
    }

    /** Work requested by one site's clients, in engine time (us/s). */
    double demand(int site) {
        double parts = requests.classes.stream().mapToDouble(RequestClass::part).sum();
        double mean = requests.classes.stream()
                .mapToDouble(k -> k.part()
                        / parts
                        * EngineModel.work(engine, (k.prompt[0] + k.prompt[1]) / 2, (k.output[0] + k.output[1]) / 2))
                .sum();
        return sites.get(site).rate() * mean;
    }

    /** Capacity of one site's engines, in engine time (us/s). */
    double capacity(int site) {
        return sites.get(site).engines() * 1e6;
    }
}
