import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A planned restart, SIGTERM and SIGKILL 3.7 s later, of a router that takes its list from a Consul registry and stands
 * in it itself. Clients ask for the rest of a stream that a router ends. The disruption: the registry hangs before the
 * restart.
 */
final class RegistrySilentAtRestartCase {
    private static final int CLIENTS = 8;
    private static final int KILL_AFTER_MILLIS = 3700;
    private static final int OWED_AFTER_MILLIS = 750;

    private final Rig rig;
    private final List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());

    private RegistrySilentAtRestartCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws IOException {
        try (Rig rig = new Rig(arguments)) {
            new RegistrySilentAtRestartCase(rig).run();
        }
    }

    private void run() throws IOException {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Engine engine = new Engine(rig, "engine-" + i, RegistrySilentAtRestartCase::answer);
            entries.add("{\"id\":\"s-" + i + "\",\"host_port\":\"" + Rig.address(engine.port())
                    + "\",\"locality\":\"anping\",\"flavor\":\"gpu-new\",\"cell\":0,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}");
        }
        int registryPort = Rig.freePort();
        Path list = Files.write(rig.temporary.resolve("engines"), entries);
        Process registry = rig.start(new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "Consul",
                        Integer.toString(registryPort),
                        list.toString())
                .redirectErrorStream(true)
                .redirectOutput(new File("/dev/null")));
        String settings = Settings.of(
                Settings.requestClass("sheet-summary", 20000, 3000, "pure", 5000), true, 250, "automatic", 1);
        String registrySettings = "{\"kind\":\"consul-kv\",\"endpoints\":[\"" + Rig.address(registryPort)
                + "\"],\"prefix\":\"engines/\",\"announce\":{\"service\":\"routers\",\"ttl_ms\":10000}}";
        Rig.RouterProcess router = rig.router(
                "n1",
                Rig.freePort(),
                Rig.freePort(),
                settings,
                "{\"revision\":0,\"complete\":true,\"members\":[]}",
                Map.of("registry.json", registrySettings));
        Rig.sleep(500);
        router.startAndAwait();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(rig, router.port));
        }
        List<Thread> first = new ArrayList<>();
        for (Client client : clients) {
            first.add(Rig.daemon(() -> request(client)));
        }
        join(first);
        for (Client.Answer answer : answers) {
            if (answer.status != 200 || !answer.whole) {
                rig.exit(2, "a request before the restart was not served");
            }
        }
        answers.clear();
        if (rig.trouble) {
            rig.log("the registry hangs");
            rig.signal(registry, "STOP");
        }
        Rig.sleep(8000);

        double terminatedAt = rig.now();
        router.terminate();
        List<Thread> second = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = clients.get(i);
            double at = terminatedAt + 800 + i * 100;
            second.add(Rig.daemon(() -> {
                rig.sleepUntil(at);
                if (client.isEnded()) {
                    rig.log("client: its kept connection has been ended; it goes elsewhere");
                } else {
                    request(client);
                }
            }));
        }
        rig.sleepUntil(terminatedAt + KILL_AFTER_MILLIS);
        double killedAt = rig.now();
        rig.log(router.process.isAlive() ? "SIGKILL" : "the router has ended by itself");
        router.kill();
        join(second);
        if (rig.trouble) {
            rig.signal(registry, "CONT");
        }
        router.recordLog("stopping", "stopped", "stream-ended", "deregister", "registry-announce");
        judge(terminatedAt, killedAt);
    }

    private void judge(double terminatedAt, double killedAt) {
        List<String> lost = new ArrayList<>();
        for (Client.Answer answer : answers) {
            rig.log(String.format(
                    Locale.ROOT,
                    "judged: %s, sent %.0f ms after SIGTERM, ended %.0f ms after it",
                    answer,
                    answer.sentAt - terminatedAt,
                    answer.endedAt - terminatedAt));
            boolean owed = answer.sentAt - terminatedAt > OWED_AFTER_MILLIS;
            // A stream that the router ends before the kill is moved: its client asks for the rest elsewhere.
            boolean underWayAtKill = !answer.whole && answer.endedAt >= killedAt;
            if (owed && underWayAtKill) {
                lost.add(answer.id);
            }
        }
        rig.exit(
                lost.isEmpty() ? 0 : 1,
                lost.size() + " of " + answers.size()
                        + " requests that came more than 0.75 s after SIGTERM were still under way at SIGKILL");
    }

    private void request(Client client) {
        try {
            Client.Answer answer = client.request("sheet-summary", 20000, 9000);
            rig.log("client: " + answer);
            answers.add(answer);
        } catch (IOException e) {
            rig.log("client: " + e);
        }
    }

    private static void join(List<Thread> threads) {
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void answer(Engine.Request request) throws IOException {
        request.stream(100, 25, 200, false);
    }
}
