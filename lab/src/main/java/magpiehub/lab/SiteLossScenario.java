package magpiehub.lab;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A generated scenario that tests the loss of a site: nine routers and 24 engines at three sites under load; the case,
 * site, time and duration are derived from the seed. Defines the cases as faults of a scenario, and which of them are a
 * loss. The load must not be below what the remaining sites can be shown to carry.
 */
record SiteLossScenario(String caseName, Scenario scenario, List<RunEvaluation.SiteLoss> losses) {
    /**
     * A case: its faults as format strings, and whether it is a loss whose connections are refused or time out. The
     * arguments are the start (1), the end (2), the start of a second fault (3), another site (4) and the end of the
     * second fault (5). Times are in seconds.
     */
    private record Case(String name, int refused, String... faults) {}

    private static final int NO_LOSS = 0;
    private static final int REFUSED = 1;
    private static final int SILENT = 2;

    private static final List<Case> CASES = List.of(
            new Case(
                    "killed",
                    REFUSED,
                    "'at':%1$s,'do':'kill','target':'site','site':'any'",
                    "'at':%2$s,'do':'start','target':'site','site':'any'"),
            new Case(
                    "engines-killed",
                    REFUSED,
                    "'at':%1$s,'do':'kill','target':'engines','site':'any'",
                    "'at':%2$s,'do':'start','target':'engines','site':'any'"),
            new Case(
                    "stopped",
                    SILENT,
                    "'at':%1$s,'do':'stop','target':'site','site':'any'",
                    "'at':%2$s,'do':'continue','target':'site','site':'any'"),
            new Case(
                    "cut-off",
                    SILENT,
                    "'at':%1$s,'do':'cut','site':'any','way':'both'",
                    "'at':%2$s,'do':'heal','site':'any'"),
            new Case(
                    "cut-forth",
                    SILENT,
                    "'at':%1$s,'do':'cut','site':'any','way':'forth','paths':'engines'",
                    "'at':%2$s,'do':'heal','site':'any','paths':'engines'"),
            new Case(
                    "cut-back",
                    SILENT,
                    "'at':%1$s,'do':'cut','site':'any','way':'back','paths':'engines'",
                    "'at':%2$s,'do':'heal','site':'any','paths':'engines'"),
            new Case(
                    "slow-path",
                    NO_LOSS,
                    "'at':%1$s,'do':'slow','site':'any','paths':'engines','value':30",
                    "'at':%2$s,'do':'heal','site':'any','paths':'engines'"),
            new Case(
                    "list-wrong",
                    NO_LOSS,
                    "'at':%1$s,'do':'list-gone','site':'any'",
                    "'at':%2$s,'do':'list-ready','site':'any'"),
            new Case(
                    "list-lost-too",
                    REFUSED,
                    "'at':%1$s,'do':'list-down'",
                    "'at':%1$s,'do':'kill','target':'engines','site':'any'",
                    "'at':%2$s,'do':'list-up'",
                    "'at':%2$s,'do':'start','target':'engines','site':'any'"),
            new Case(
                    "all-slow",
                    NO_LOSS,
                    "'at':%1$s,'do':'engine-slow','value':1.8",
                    "'at':%2$s,'do':'engine-slow','value':1"),
            new Case(
                    "survivor-restarts",
                    REFUSED,
                    "'at':%1$s,'do':'kill','target':'site','site':'any'",
                    "'at':%3$s,'do':'kill','target':'%4$s-1'",
                    "'at':%5$s,'do':'start','target':'%4$s-1'",
                    "'at':%2$s,'do':'start','target':'site','site':'any'"));

    private static final String SCENARIO_TEMPLATE =
            """
            {"name": "site-%s", "seconds": %s,
             "sites": [{"name": "a", "routers": 3, "engines": 8, "rate": 40},
                       {"name": "b", "routers": 3, "engines": 8, "rate": 40},
                       {"name": "c", "routers": 3, "engines": 8, "rate": 40}],
             "engine": {"slots": 6, "queue": 12, "stepMs": 20, "promptUs": 60, "chunk": 512, "event": 4,
                        "kept": 20000, "coldMs": 3000, "start": 0.3, "fallMs": 1000, "factor": 4},
             "requests": {"classes": [
                 {"name": "chat", "part": 0.7, "aimMs": 1200, "deadlineMs": 4000, "gain": 2,
                  "prompt": [100, 600], "output": [8, 32]},
                 {"name": "batch", "part": 0.3, "aimMs": 3000, "deadlineMs": 8000, "gain": 1,
                  "prompt": [300, 1200], "output": [8, 48]}],
               "tenants": [{"name": "acme", "share": 0.6}, {"name": "globex", "share": 0.4}],
               "turns": 4, "prefixes": 12, "prefixTokens": 80, "zipf": 1.0, "retries": 1},
             "paths": {"delayMs": 0.2, "jitterMs": 0.3, "crossDelayMs": 2},
             "routers": {"memoryMb": 192, "sockets": 1024, "probes": true},
             "listLateMs": %s, "noticeMs": 1000,
             "faults": [%s]}
            """;

    static List<String> caseNames() {
        return CASES.stream().map(Case::name).toList();
    }

    /** Generates the scenario of a seed; {@code caseName} overrides the seed's case if it is not null. */
    static SiteLossScenario fromSeed(long seed, String caseName) throws IOException {
        SplittableRandom random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L);
        int caseIndex = random.nextInt(CASES.size());
        Case selected = caseName == null
                ? CASES.get(caseIndex)
                : CASES.stream()
                        .filter(candidate -> candidate.name.equals(caseName))
                        .findFirst()
                        .orElseThrow(() -> new Scenario.InvalidScenarioException(
                                "unknown case " + caseName + "; must be one of " + caseNames()));
        double from = 6 + random.nextDouble() * 2;
        double duration = 5 + random.nextDouble() * 3;
        double listLateMs = random.nextDouble() * 3000;
        double secondFaultAt = from + 0.2 + random.nextDouble() * 0.5;
        String otherSite = otherSiteName(seed);
        StringBuilder faults = new StringBuilder();
        for (String fault : selected.faults) {
            faults.append(faults.length() == 0 ? "" : ",")
                    .append('{')
                    .append(String.format(
                            Locale.ROOT,
                            fault.replace('\'', '"'),
                            formatSeconds(from),
                            formatSeconds(from + duration),
                            formatSeconds(secondFaultAt),
                            otherSite,
                            formatSeconds(secondFaultAt + 1)))
                    .append('}');
        }
        Scenario scenario = Scenario.read(
                String.format(
                        Locale.ROOT,
                        SCENARIO_TEMPLATE,
                        selected.name,
                        formatSeconds(from + duration + 7),
                        formatSeconds(listLateMs),
                        faults),
                seed);
        List<RunEvaluation.SiteLoss> losses = selected.refused == NO_LOSS
                ? List.of()
                : List.of(new RunEvaluation.SiteLoss(
                        scenario.faults.stream()
                                .mapToInt(Scenario.Fault::site)
                                .filter(candidate -> candidate >= 0)
                                .findFirst()
                                .orElseThrow(),
                        Math.round(from * 1e6),
                        Math.round((from + duration) * 1e6),
                        selected.refused == REFUSED));
        return new SiteLossScenario(selected.name, scenario, losses);
    }

    /** The name of the site that "other" refers to in a scenario of this seed. */
    private static String otherSiteName(long seed) throws IOException {
        Scenario scenario = Scenario.read(
                String.format(
                        Locale.ROOT,
                        SCENARIO_TEMPLATE,
                        "x",
                        "10",
                        "0",
                        "{\"at\":1,\"do\":\"reset\",\"site\":\"other\"}"),
                seed);
        return scenario.sites.get(scenario.faults.get(0).site()).name();
    }

    private static String formatSeconds(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
