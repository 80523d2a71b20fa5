import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A planned restart: SIGTERM, and SIGKILL 3.7 s later. Clients that do not ask for the rest of a stream use the
 * connections that they have kept, 0.8 to 1.5 s after SIGTERM. Each answer takes 5 s.
 */
final class StreamsAtRestartCase {
    private static final int CLIENTS = 8;
    /** The longest deadline, counted as 3 s where it is longer, and 0.7 s. */
    private static final int KILL_AFTER_MILLIS = 3710;
    /** What comes later than this after SIGTERM must be answered by SIGKILL: 0.7 s, and 50 ms as for every limit. */
    private static final int OWED_AFTER_MILLIS = 750;

    private final Rig rig;
    private final List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());

    private StreamsAtRestartCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws IOException {
        Rig.play(arguments, rig -> new StreamsAtRestartCase(rig).run());
    }

    private void run() throws IOException {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < 3; i++) {
            Engine engine = new Engine(rig, "engine-" + i, StreamsAtRestartCase::answer);
            discovery.put("s-" + i, engine.port(), "Ready");
        }
        String settings = Settings.of(
                Settings.requestClass("sheet-summary", 20000, 3000, "pure", 5000), false, 250, "subscribe", 1);
        Rig.RouterProcess router =
                rig.router("n1", Rig.freePort(), discovery.port(), settings, discovery.list(), Map.of());
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
        Rig.sleep(200);

        if (rig.trouble) {
            router.terminate();
        }
        // Read after the signal, so that no time that counts from it is too short.
        double terminatedAt = rig.now();
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
        double killedAt = Double.MAX_VALUE;
        if (rig.trouble) {
            rig.sleepUntil(terminatedAt + KILL_AFTER_MILLIS);
            killedAt = rig.now();
            rig.log(router.process.isAlive() ? "SIGKILL" : "the router has ended by itself");
            router.kill();
        }
        join(second);
        router.recordLog("stopping", "stopped", "stream-ended");
        judge(terminatedAt, killedAt);
    }

    private void judge(double terminatedAt, double killedAt) {
        List<String> lost = new ArrayList<>();
        for (Client.Answer answer : answers) {
            rig.log(String.format(Locale.ROOT, "judged: %s, sent %.0f ms after SIGTERM", answer, answer.sentAt - terminatedAt));
            boolean owed = answer.sentAt - terminatedAt > OWED_AFTER_MILLIS;
            // A connection that ends with no byte of an answer crossed the request: the client sends it once more.
            boolean crossed = answer.status == 0 && answer.endedAt < killedAt;
            if (owed && !crossed && !answer.whole) {
                lost.add(answer.id);
            }
        }
        String verdict = lost.size() + " of " + answers.size() + " requests that came more than 0.75 s after SIGTERM were lost";
        rig.exit(lost.isEmpty() ? 0 : 1, verdict);
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

    /** 100 tokens, an event for every four of them, a token every 50 ms as wanted. */
    private static void answer(Engine.Request request) throws IOException {
        request.stream(100, 25, 200, false);
    }
}
