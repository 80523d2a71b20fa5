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
        String describe(List<Site> sites) {
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

    private static final Set<String> KINDS_WITH_VALUE =
            Set.of("slow", "throttle", "engine-slow", "engine-errors", "list-late");
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
    private final int anySite;
    private final int otherSite;

    private Scenario(File file, long seed) {
        this.name = file.name;
        this.seed = seed;
        this.lengthMs = Math.round(file.seconds * 1000);
        this.sites = List.copyOf(file.sites);
        this.engine = file.engine;
        this.requests = file.requests;
        this.paths = file.paths;
        this.routers = file.routers;
        this.listLateMs = Math.round(file.listLateMs);
        this.noticeMs = Math.round(file.noticeMs);
        validate();
        SplittableRandom random = new SplittableRandom(seed);
        anySite = random.nextInt(sites.size());
        otherSite = sites.size() == 1 ? anySite : (anySite + 1 + random.nextInt(sites.size() - 1)) % sites.size();
        List<Fault> sorted = new ArrayList<>();
        for (int i = 0; i < file.faults.size(); i++) {
            sorted.add(parseFault(file.faults.get(i), "faults[" + i + "]", random.split()));
        }
        sorted.sort(Comparator.comparingLong(Fault::at));
        faults = List.copyOf(sorted);
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

    private void validate() {
        require(lengthMs >= 1_000 && lengthMs <= 600_000, "seconds must be 1 to 600");
        require(!sites.isEmpty() && sites.size() <= 8, "sites must be 1 to 8");
        for (Site site : sites) {
            require(
                    site.routers >= 0
                            && site.routers <= 60
                            && site.engines >= 0
                            && site.engines <= 100
                            && site.rate >= 0,
                    "sites: " + site.name + " must have at most 60 routers and 100 engines");
        }
        require(sites.stream().map(Site::name).distinct().count() == sites.size(), "sites must have distinct names");
        require(!requests.classes.isEmpty(), "requests.classes is empty");
        for (RequestClass requestClass : requests.classes) {
            require(
                    requestClass.deadlineMs > 0
                            && requestClass.aimMs > 0
                            && requestClass.prompt.length == 2
                            && requestClass.output.length == 2
                            && requestClass.prompt[0] > 0
                            && requestClass.output[0] > 0
                            && requestClass.prompt[1] >= requestClass.prompt[0]
                            && requestClass.output[1] >= requestClass.output[0],
                    "requests.classes: " + requestClass.name
                            + " needs deadlineMs, aimMs, prompt [from, to] and output [from, to] above 0");
        }
        require(
                engine.slots() > 0
                        && engine.stepMs() > 0
                        && engine.coldMs() > 0
                        && engine.start() > 0
                        && engine.chunk() > 0,
                "engine: slots, stepMs, chunk, coldMs and start must be above 0");
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new InvalidScenarioException(message);
        }
    }

    private Fault parseFault(JsonNode node, String location, SplittableRandom random) {
        node.fieldNames()
                .forEachRemaining(
                        field -> require(FIELDS.contains(field), location + " has an unknown field " + field));
        String kind = node.path("do").asText("");
        require(KINDS.contains(kind), location + ".do must be one of " + String.join(", ", KINDS));
        require(node.has("at"), location + ".at is missing");
        require(node.has("value") || !KINDS_WITH_VALUE.contains(kind), location + ".value is missing for " + kind);
        String way = node.path("way").asText("both");
        require(Set.of("both", "forth", "back").contains(way), location + ".way must be both, forth or back");
        String paths = node.path("paths").asText("all");
        require(
                Set.of("all", "engines", "clients", "discovery").contains(paths),
                location + ".paths must be all, engines, clients or discovery");
        boolean affectsPaths =
                Set.of("cut", "blackhole", "reset", "slow", "throttle", "heal").contains(kind);
        String target = node.path("target").asText(null);
        require(
                !Set.of("kill", "stop", "continue", "term", "start").contains(kind) || target != null,
                location + ".target is missing: site, engines, routers or a router as NAME-1");
        require(!kind.equals("say") || target != null, location + ".target is missing: the console command");
        double atSeconds = parseNumber(node.get("at"), location + ".at", random);
        require(atSeconds >= 0 && atSeconds * 1000 <= lengthMs, location + ".at is outside the run");
        return new Fault(
                Math.round(atSeconds * 1000),
                kind,
                siteIndex(node, "site", location),
                siteIndex(node, "to", location),
                kind.equals("cut") ? way : null,
                affectsPaths ? paths : null,
                target,
                node.has("value") ? parseNumber(node.get("value"), location + ".value", random) : 0);
    }

    /** The index of the site under a key, or -1 for all sites if it is absent. */
    private int siteIndex(JsonNode node, String key, String location) {
        if (!node.has(key)) {
            return -1;
        }
        String siteName = node.get(key).asText();
        if (siteName.equals("any")) {
            return anySite;
        }
        if (siteName.equals("other")) {
            return otherSite;
        }
        for (int i = 0; i < sites.size(); i++) {
            if (sites.get(i).name().equals(siteName)) {
                return i;
            }
        }
        throw new InvalidScenarioException(location + "." + key + " names an unknown site: " + siteName);
    }

    private static double parseNumber(JsonNode node, String location, SplittableRandom random) {
        if (node.isNumber()) {
            return node.asDouble();
        }
        if (node.isArray()
                && node.size() == 2
                && node.get(0).isNumber()
                && node.get(1).isNumber()
                && node.get(0).asDouble() <= node.get(1).asDouble()) {
            return node.get(0).asDouble()
                    + random.nextDouble()
                            * (node.get(1).asDouble() - node.get(0).asDouble());
        }
        throw new InvalidScenarioException(location + " must be a number or [from, to]");
    }

    /** Work requested by one site's clients, in engine time (us/s). */
    double demand(int site) {
        double totalWeight =
                requests.classes.stream().mapToDouble(RequestClass::part).sum();
        double meanWorkMicros = requests.classes.stream()
                .mapToDouble(requestClass -> requestClass.part()
                        / totalWeight
                        * EngineModel.workMicros(
                                engine,
                                (requestClass.prompt[0] + requestClass.prompt[1]) / 2,
                                (requestClass.output[0] + requestClass.output[1]) / 2))
                .sum();
        return sites.get(site).rate() * meanWorkMicros;
    }

    /** Capacity of one site's engines, in engine time (us/s). */
    double capacity(int site) {
        return sites.get(site).engines() * 1e6;
    }
}
