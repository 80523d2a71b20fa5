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
            Lab.Run.class,
            Lab.Compare.class,
            Lab.Check.class,
            Lab.ProofSite.class,
            Lab.Drive.class,
            Lab.Engines.class
        })
public final class Lab {
    /** Maximum 99th percentile of the sending delay for the measurements to be valid (us). */
    private static final long MOST_LATE = 50_000;

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
    static final class Play {
        @Option(names = "--jar", description = "the router's jar (target/magpiehub.jar)")
        Path jar;

        @Option(names = "--base", description = "an older jar, run concurrently for comparison")
        Path base;

        @Option(names = "--site", description = "content of deploy/site.json for --jar; {} for the defaults")
        String site;

        @Option(names = "--out", description = "folder for reports and logs (target/lab/NAME-SEED)")
        Path out;

        /** Runs the scenario with the jar, and concurrently with the base jar if there is one. */
        List<Fleet.RunResult> play(Scenario s) throws IOException {
            Path root = Fleet.projectRoot();
            jar = jar == null ? root.resolve("target/magpiehub.jar") : jar;
            out = out == null ? root.resolve("target/lab/" + s.name + "-" + s.seed) : out;
            if (!Files.isReadable(jar) || (base != null && !Files.isReadable(base))) {
                throw new Scenario.InvalidScenarioException("cannot read jar: " + (Files.isReadable(jar) ? base : jar));
            }
            Map<String, String> files = site == null ? Map.of() : Map.of("site.json", site);
            int net = 16 + (int) (ProcessHandle.current().pid() % 110);
            if (base == null) {
                return List.of(one(s, jar, out, net, files, ""));
            }
            Fleet.RunResult[] both = new Fleet.RunResult[1];
            IOException[] failed = new IOException[1];
            Thread t = DaemonThreads.newThread("base", () -> {
                try {
                    both[0] = one(s, base, out.resolve("base"), net + 110, Map.of(), "base: ");
                } catch (IOException e) {
                    failed[0] = e;
                }
            });
            t.start();
            Fleet.RunResult mine = one(s, jar, out, net, files, "");
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (failed[0] != null) {
                throw failed[0];
            }
            return List.of(mine, both[0]);
        }

        private static Fleet.RunResult one(
                Scenario s, Path jar, Path out, int net, Map<String, String> files, String mark) throws IOException {
            long from = System.nanoTime();
            if (Files.exists(out.resolve("logs"))) {
                try (var old = Files.list(out.resolve("logs"))) {
                    for (Path p : old.toList()) {
                        Files.delete(p);
                    }
                }
            }
            try (Fleet f = new Fleet(
                    s,
                    jar,
                    out,
                    net,
                    files,
                    l -> System.err.printf("%6.1f s  %s%s%n", (System.nanoTime() - from) / 1e9, mark, l))) {
                return f.run();
            }
        }

        int report(List<Fleet.RunResult> plays, List<RunEvaluation.SiteLoss> losses) throws IOException {
            boolean holds = true;
            List<JsonNode> json = new ArrayList<>();
            for (int i = 0; i < plays.size(); i++) {
                Fleet.RunResult o = plays.get(i);
                List<RunEvaluation.SiteLoss> l = losses == null ? List.of() : losses;
                List<RunEvaluation.Bound> bounds = new RunEvaluation(o).evaluate(shifted(l, o.from()));
                if (i == 0) {
                    bounds.forEach(System.out::println);
                    holds = bounds.stream().allMatch(RunEvaluation.Bound::holds);
                }
                json.add(Report.write(
                        o,
                        bounds,
                        i == 0 ? out : out.resolve("base"),
                        (i == 0 ? jar : base).getFileName().toString()));
            }
            if (json.size() > 1) {
                Report.compare(json.get(0), json.get(1)).forEach(System.out::println);
                Files.writeString(out.resolve("compare.html"), Report.html(json));
            }
            long late = plays.stream()
                    .mapToLong(Fleet.RunResult::sendDelayP99Micros)
                    .max()
                    .orElse(0);
            if (late > MOST_LATE) {
                System.out.printf(
                        "this machine was too busy: 99 %% of requests were sent up to %d ms late%n", late / 1000);
            }
            System.out.println("report: " + out.resolve("report.html"));
            return late > MOST_LATE ? 3 : holds ? 0 : 1;
        }

        /** Converts losses from times relative to the first request to the monotonic clock. */
        private static List<RunEvaluation.SiteLoss> shifted(List<RunEvaluation.SiteLoss> l, long from) {
            return l.stream()
                    .map(x -> new RunEvaluation.SiteLoss(x.site(), x.from() + from, x.until() + from, x.refused()))
                    .toList();
        }
    }

    /** Runs a scenario file. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a scenario file.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        Path file;

        @Option(names = "--seed", defaultValue = "1")
        long seed;

        @CommandLine.Mixin
        Play play = new Play();

        @Override
        public Integer call() throws IOException {
            return play.report(play.play(Scenario.read(file, seed)), null);
        }
    }

    /** Compares the reports of two runs. */
    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares the reports of two runs.")
    static final class Compare implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        Path a;

        @Parameters(index = "1", paramLabel = "B")
        Path b;

        @Option(names = "--html", description = "write a page with the charts of both runs overlaid")
        Path html;

        @Override
        public Integer call() throws IOException {
            JsonNode x = Report.read(a);
            JsonNode y = Report.read(b);
            Report.compare(x, y).forEach(System.out::println);
            if (html != null) {
                Files.writeString(html, Report.html(List.of(x, y)));
            }
            return 0;
        }
    }

    /** Validates a scenario file and prints what the seed selects. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validates a scenario file without running it.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        Path file;

        @Option(names = "--seed", defaultValue = "1")
        long seed;

        @Override
        public Integer call() throws IOException {
            Scenario s = Scenario.read(file, seed);
            for (int i = 0; i < s.sites.size(); i++) {
                System.out.printf(
                        "%s: its own clients use %.0f %% of its engines' capacity%n",
                        s.sites.get(i).name(), 100 * s.demand(i) / Math.max(1, s.capacity(i)));
            }
            s.faults.forEach(f -> System.out.printf("%7.3f s  %s%n", f.at() / 1000.0, f.describe(s.sites)));
            return 0;
        }
    }

    /** Runs a generated site loss and checks its bounds. */
    @Command(
            name = "proof-site",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a site loss generated from the seed with nine routers at three sites and checks its bounds.")
    static final class ProofSite implements Callable<Integer> {
        @Parameters(paramLabel = "SEED")
        long seed;

        @Option(names = "--case", description = "a named case instead of the one that the seed selects")
        String kind;

        @CommandLine.Mixin
        Play play = new Play();

        @Override
        public Integer call() throws IOException {
            SiteLossScenario p = SiteLossScenario.drawn(seed, kind);
            System.out.println("case: " + p.kind());
            return play.report(play.play(p.scenario()), p.losses());
        }
    }

    /** Simulates the routers' site health trackers in virtual time. */
    @Command(
            name = "drive",
            mixinStandardHelpOptions = true,
            description = "Simulates random site losses with the site health trackers of 100 routers, in virtual time.")
    static final class Drive implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "SEED")
        long seed;

        @Parameters(index = "1", paramLabel = "SCENARIOS", defaultValue = "2000")
        int scenarios;

        @Option(names = "--threads", description = "number of threads; does not affect the result")
        int threads = Runtime.getRuntime().availableProcessors();

        @Override
        public Integer call() throws Exception {
            SiteFailoverSimulation.Result r = SiteFailoverSimulation.play(seed, scenarios, threads);
            System.out.println(SiteFailoverSimulation.line(seed, scenarios, r));
            return r.lostWrongly == 0 ? 0 : 1;
        }
    }

    /** Serves one site's engines; started by the laboratory itself. */
    @Command(name = "engines", hidden = true)
    static final class Engines implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            EngineSiteProcess.run();
            return 0;
        }
    }
}
