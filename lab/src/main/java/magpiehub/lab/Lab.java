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

/** The laboratory's commands. It owns the options and the exit codes: 0 all held, 1 a bound failed, 2 the
 *  call
 *  or the file is wrong, 3 the play could not be made. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "magpiehub-lab 0.1.0",
        description = "Plays fleets of real routers with faults between them.",
        subcommands = {
            Lab.Run.class,
            Lab.Compare.class,
            Lab.Check.class,
            Lab.ProofSite.class,
            Lab.Drive.class,
            Lab.Engines.class
        })
public final class Lab {
    /** How late the rig itself may be, by 99 of 100 requests, for its figures to say something (us). */
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
            if (!(e instanceof Scenario.Wrong || e instanceof IOException)) {
                e.printStackTrace(c.getErr());
            }
            return e instanceof Scenario.Wrong || e instanceof java.nio.file.NoSuchFileException ? 2 : 3;
        });
    }

    /** The options that each play takes. */
    static final class Play {
        @Option(names = "--jar", description = "the router's jar (target/magpiehub.jar)")
        Path jar;

        @Option(names = "--base", description = "an older jar, played side by side")
        Path base;

        @Option(names = "--site", description = "what deploy/site.json holds for --jar; {} for its defaults")
        String site;

        @Option(names = "--out", description = "folder for reports and logs (target/lab/NAME-SEED)")
        Path out;

        /** Plays once, or with both jars at the same time. */
        List<Fleet.Outcome> play(Scenario s) throws IOException {
            Path root = Fleet.root();
            jar = jar == null ? root.resolve("target/magpiehub.jar") : jar;
            out = out == null ? root.resolve("target/lab/" + s.name + "-" + s.seed) : out;
            if (!Files.isReadable(jar) || (base != null && !Files.isReadable(base))) {
                throw new Scenario.Wrong("no jar: " + (Files.isReadable(jar) ? base : jar));
            }
            Map<String, String> files = site == null ? Map.of() : Map.of("site.json", site);
            int net = 16 + (int) (ProcessHandle.current().pid() % 110);
            if (base == null) {
                return List.of(one(s, jar, out, net, files, ""));
            }
            Fleet.Outcome[] both = new Fleet.Outcome[1];
            IOException[] failed = new IOException[1];
            Thread t = DaemonThreads.newThread("base", () -> {
                try {
                    both[0] = one(s, base, out.resolve("base"), net + 110, Map.of(), "base: ");
                } catch (IOException e) {
                    failed[0] = e;
                }
            });
            t.start();
            Fleet.Outcome mine = one(s, jar, out, net, files, "");
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

        private static Fleet.Outcome one(
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
                return f.play();
            }
        }

        int report(List<Fleet.Outcome> plays, List<Verdict.Loss> losses) throws IOException {
            boolean holds = true;
            List<JsonNode> json = new ArrayList<>();
            for (int i = 0; i < plays.size(); i++) {
                Fleet.Outcome o = plays.get(i);
                List<Verdict.Loss> l = losses == null ? List.of() : losses;
                List<Verdict.Bound> bounds = new Verdict(o).of(shifted(l, o.from()));
                if (i == 0) {
                    bounds.forEach(System.out::println);
                    holds = bounds.stream().allMatch(Verdict.Bound::holds);
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
            long late = plays.stream().mapToLong(Fleet.Outcome::late).max().orElse(0);
            if (late > MOST_LATE) {
                System.out.printf(
                        "this machine was too busy: requests left up to %d ms late (99 of 100)%n", late / 1000);
            }
            System.out.println("report: " + out.resolve("report.html"));
            return late > MOST_LATE ? 3 : holds ? 0 : 1;
        }

        /** Losses are said from the first request on; the machine's clock is meant from here. */
        private static List<Verdict.Loss> shifted(List<Verdict.Loss> l, long from) {
            return l.stream()
                    .map(x -> new Verdict.Loss(x.site(), x.from() + from, x.until() + from, x.refused()))
                    .toList();
        }
    }

    /** Plays a scenario file. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario file.")
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

    /** Compares two reports. */
    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares two plays' reports.")
    static final class Compare implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        Path a;

        @Parameters(index = "1", paramLabel = "B")
        Path b;

        @Option(names = "--html", description = "a page with the plots of both over each other")
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

    /** Reads a scenario file and says what a seed makes of it. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = "Reads a scenario file, plays nothing.")
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
                        "%s: %.0f %% of its engines' time asked for by its own clients%n",
                        s.sites.get(i).name(), 100 * s.demand(i) / Math.max(1, s.capacity(i)));
            }
            s.faults.forEach(f -> System.out.printf("%7.3f s  %s%n", f.at() / 1000.0, f.text(s.sites)));
            return 0;
        }
    }

    /** The proof of the loss of a site. */
    @Command(
            name = "proof-site",
            mixinStandardHelpOptions = true,
            description = "Nine routers, three sites, a loss drawn from the seed, and its bounds.")
    static final class ProofSite implements Callable<Integer> {
        @Parameters(paramLabel = "SEED")
        long seed;

        @Option(names = "--case", description = "a case of SiteProof instead of the seed's")
        String kind;

        @CommandLine.Mixin
        Play play = new Play();

        @Override
        public Integer call() throws IOException {
            SiteProof p = SiteProof.drawn(seed, kind);
            System.out.println("case: " + p.kind());
            return play.report(play.play(p.scenario()), p.losses());
        }
    }

    /** The machines that routers judge sites by, alone, in virtual time. */
    @Command(
            name = "drive",
            mixinStandardHelpOptions = true,
            description = "Drawn losses of sites against the machines of 100 routers, in virtual time.")
    static final class Drive implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "SEED")
        long seed;

        @Parameters(index = "1", paramLabel = "SCENARIOS", defaultValue = "2000")
        int scenarios;

        @Option(names = "--threads", description = "the result is the same for any number")
        int threads = Runtime.getRuntime().availableProcessors();

        @Override
        public Integer call() throws Exception {
            SitesDrive.Result r = SitesDrive.play(seed, scenarios, threads);
            System.out.println(SitesDrive.line(seed, scenarios, r));
            return r.lostWrongly == 0 ? 0 : 1;
        }
    }

    /** A site's engines; the laboratory starts it by itself. */
    @Command(name = "engines", hidden = true)
    static final class Engines implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            EngineSite.main();
            return 0;
        }
    }
}
