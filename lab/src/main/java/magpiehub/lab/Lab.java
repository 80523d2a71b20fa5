package magpiehub.lab;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import magpiehub.concurrent.DaemonThreads;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Command line of the laboratory. Exit codes: 0 all bounds hold, 1 a bound failed, 2 invalid arguments or file, 3 the
 * run could not be completed or this machine was too busy for valid measurements.
 */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "magpiehub-lab 0.1.0",
        description = "Runs fleets of real routers and injects faults.",
        subcommands = {
            Lab.RunCommand.class,
            Lab.CompareCommand.class,
            Lab.CheckCommand.class,
            Lab.ProofSiteCommand.class,
            Lab.DriveCommand.class,
            Lab.EnginesCommand.class
        })
public final class Lab {
    /** Maximum 99th percentile of the sending delay for the measurements to be valid (us). */
    private static final long MAX_SEND_DELAY_MICROS = 50_000;

    private Lab() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(commands().execute(args));
    }

    static CommandLine commands() {
        return new CommandLine(new Lab()).setExecutionExceptionHandler((e, c, r) -> {
            c.getErr().println("lab: " + (e.getMessage() == null ? e : e.getMessage()));
            if (!(e instanceof Scenario.InvalidScenarioException || e instanceof IOException)) {
                e.printStackTrace(c.getErr());
            }
            return e instanceof Scenario.InvalidScenarioException || e instanceof java.nio.file.NoSuchFileException
                    ? 2
                    : 3;
        });
    }

    /** Options of all commands that run a scenario. */
    static final class RunOptions {
        @Option(names = "--jar", description = "the router's jar (target/magpiehub.jar)")
        Path jar;

        @Option(names = "--base", description = "an older jar, run concurrently for comparison")
        Path base;

        @Option(names = "--site", description = "content of deploy/site.json for --jar; {} for the defaults")
        String site;

        @Option(names = "--out", description = "folder for reports and logs (target/lab/NAME-SEED)")
        Path out;

        /** Runs the scenario with the jar, and concurrently with the base jar if there is one. */
        List<Fleet.RunResult> run(Scenario scenario) throws IOException {
            Path root = Fleet.projectRoot();
            jar = jar == null ? root.resolve("target/magpiehub.jar") : jar;
            out = out == null ? root.resolve("target/lab/" + scenario.name + "-" + scenario.seed) : out;
            if (!Files.isReadable(jar) || (base != null && !Files.isReadable(base))) {
                throw new Scenario.InvalidScenarioException("cannot read jar: " + (Files.isReadable(jar) ? base : jar));
            }
            Map<String, String> files = site == null ? Map.of() : Map.of("site.json", site);
            int secondOctet = 16 + (int) (ProcessHandle.current().pid() % 110);
            if (base == null) {
                return List.of(runOnce(scenario, jar, out, secondOctet, files, ""));
            }
            Fleet.RunResult[] baseResult = new Fleet.RunResult[1];
            IOException[] failed = new IOException[1];
            Thread baseThread = DaemonThreads.newThread("base", () -> {
                try {
                    baseResult[0] = runOnce(scenario, base, out.resolve("base"), secondOctet + 110, Map.of(), "base: ");
                } catch (IOException e) {
                    failed[0] = e;
                }
            });
            baseThread.start();
            Fleet.RunResult result = runOnce(scenario, jar, out, secondOctet, files, "");
            try {
                baseThread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (failed[0] != null) {
                throw failed[0];
            }
            return List.of(result, baseResult[0]);
        }

        private static Fleet.RunResult runOnce(
                Scenario scenario,
                Path jar,
                Path out,
                int secondOctet,
                Map<String, String> files,
                String progressPrefix)
                throws IOException {
            long from = System.nanoTime();
            if (Files.exists(out.resolve("logs"))) {
                try (var old = Files.list(out.resolve("logs"))) {
                    for (Path p : old.toList()) {
                        Files.delete(p);
                    }
                }
            }
            try (Fleet f = new Fleet(
                    scenario,
                    jar,
                    out,
                    secondOctet,
                    files,
                    line -> System.err.printf(
                            "%6.1f s  %s%s%n", (System.nanoTime() - from) / 1e9, progressPrefix, line))) {
                return f.run();
            }
        }

        int report(List<Fleet.RunResult> results, List<RunEvaluation.SiteLoss> losses) throws IOException {
            boolean allHold = true;
            List<JsonNode> json = new ArrayList<>();
            for (int i = 0; i < results.size(); i++) {
                Fleet.RunResult result = results.get(i);
                List<RunEvaluation.SiteLoss> relativeLosses = losses == null ? List.of() : losses;
                List<RunEvaluation.Bound> bounds =
                        new RunEvaluation(result).evaluate(toMonotonicClock(relativeLosses, result.from()));
                if (i == 0) {
                    bounds.forEach(System.out::println);
                    allHold = bounds.stream().allMatch(RunEvaluation.Bound::holds);
                }
                json.add(Report.write(
                        result,
                        bounds,
                        i == 0 ? out : out.resolve("base"),
                        (i == 0 ? jar : base).getFileName().toString()));
            }
            if (json.size() > 1) {
                Report.compare(json.get(0), json.get(1)).forEach(System.out::println);
                Files.writeString(out.resolve("compare.html"), Report.html(json));
            }
            long sendDelay = results.stream()
                    .mapToLong(Fleet.RunResult::sendDelayP99Micros)
                    .max()
                    .orElse(0);
            if (sendDelay > MAX_SEND_DELAY_MICROS) {
                System.out.printf(
                        "this machine was too busy: 99 %% of requests were sent up to %d ms late%n", sendDelay / 1000);
            }
            System.out.println("report: " + out.resolve("report.html"));
            return sendDelay > MAX_SEND_DELAY_MICROS ? 3 : allHold ? 0 : 1;
        }

        /** Converts losses from times relative to the first request to the monotonic clock. */
        private static List<RunEvaluation.SiteLoss> toMonotonicClock(List<RunEvaluation.SiteLoss> losses, long from) {
            return losses.stream()
                    .map(loss -> new RunEvaluation.SiteLoss(
                            loss.site(), loss.from() + from, loss.until() + from, loss.refused()))
                    .toList();
        }
    }

    /** Runs a scenario file. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a scenario file.")
    static final class RunCommand implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        Path file;

        @Option(names = "--seed", defaultValue = "1")
        long seed;

        @CommandLine.Mixin
        RunOptions runOptions = new RunOptions();

        @Override
        public Integer call() throws IOException {
            return runOptions.report(runOptions.run(Scenario.read(file, seed)), null);
        }
    }

    /** Compares the reports of two runs. */
    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares the reports of two runs.")
    static final class CompareCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        Path a;

        @Parameters(index = "1", paramLabel = "B")
        Path b;

        @Option(names = "--html", description = "write a page with the charts of both runs overlaid")
        Path html;

        @Override
        public Integer call() throws IOException {
            JsonNode first = Report.read(a);
            JsonNode second = Report.read(b);
            Report.compare(first, second).forEach(System.out::println);
            if (html != null) {
                Files.writeString(html, Report.html(List.of(first, second)));
            }
            return 0;
        }
    }

    /** Validates a scenario file and prints what the seed selects. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validates a scenario file without running it.")
    static final class CheckCommand implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        Path file;

        @Option(names = "--seed", defaultValue = "1")
        long seed;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = Scenario.read(file, seed);
            for (int i = 0; i < scenario.sites.size(); i++) {
                System.out.printf(
                        "%s: its own clients use %.0f %% of its engines' capacity%n",
                        scenario.sites.get(i).name(), 100 * scenario.demand(i) / Math.max(1, scenario.capacity(i)));
            }
            scenario.faults.forEach(
                    fault -> System.out.printf("%7.3f s  %s%n", fault.at() / 1000.0, fault.describe(scenario.sites)));
            return 0;
        }
    }

    /** Runs a generated site loss and checks its bounds. */
    @Command(
            name = "proof-site",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a site loss generated from the seed with nine routers at three sites and checks its bounds.")
    static final class ProofSiteCommand implements Callable<Integer> {
        @Parameters(paramLabel = "SEED")
        long seed;

        @Option(names = "--case", description = "a named case instead of the one that the seed selects")
        String caseName;

        @CommandLine.Mixin
        RunOptions runOptions = new RunOptions();

        @Override
        public Integer call() throws IOException {
            SiteLossScenario generated = SiteLossScenario.fromSeed(seed, caseName);
            System.out.println("case: " + generated.caseName());
            return runOptions.report(runOptions.run(generated.scenario()), generated.losses());
        }
    }

    /** Simulates the routers' site health trackers in virtual time. */
    @Command(
            name = "drive",
            mixinStandardHelpOptions = true,
            description = "Simulates random site losses with the site health trackers of 100 routers, in virtual time.")
    static final class DriveCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "SEED")
        long seed;

        @Parameters(index = "1", paramLabel = "SCENARIOS", defaultValue = "2000")
        int scenarios;

        @Option(names = "--threads", description = "number of threads; does not affect the result")
        int threads = Runtime.getRuntime().availableProcessors();

        @Override
        public Integer call() throws Exception {
            SiteFailoverSimulation.Result result = SiteFailoverSimulation.run(seed, scenarios, threads);
            System.out.println(SiteFailoverSimulation.formatResult(seed, scenarios, result));
            return result.falseLosses == 0 ? 0 : 1;
        }
    }

    /** Serves one site's engines; started by the laboratory itself. */
    @Command(name = "engines", hidden = true)
    static final class EnginesCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            EngineSiteProcess.run();
            return 0;
        }
    }
}
