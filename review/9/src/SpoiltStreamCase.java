import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some streams arrive spoilt: after three events comes a chunk whose size does not fit, and then nothing more; the
 * engine's connection stays open. Clients do not ask for the rest of a stream.
 */
final class SpoiltStreamCase {
    private static final int REQUESTS = 12;
    /** One request in so many is answered with a spoilt stream. */
    private static final int SPOILT_ONE_IN = 4;
    /** The client's connection has to end within 5 s; every limit is 50 ms longer. */
    private static final int END_WITHIN_MILLIS = 5050;
    private static final int PATIENCE_MILLIS = 15_000;

    private final Rig rig;
    private final AtomicInteger received = new AtomicInteger();
    private final Map<String, Double> spoiltAt = new ConcurrentHashMap<>();
    private final List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());

    private SpoiltStreamCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws IOException {
        Rig.play(arguments, rig -> new SpoiltStreamCase(rig).run());
    }

    private void run() throws IOException {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < 3; i++) {
            Engine engine = new Engine(rig, "engine-" + i, this::answer);
            discovery.put("s-" + i, engine.port(), "Ready");
        }
        String settings = Settings.of(
                Settings.requestClass("results-lookup", 6000, 1200, "pure", 5000), false, 250, "subscribe", 1);
        Rig.RouterProcess router =
                rig.router("n1", Rig.freePort(), discovery.port(), settings, discovery.list(), Map.of());
        router.startAndAwait();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(Rig.daemon(() -> request(router)));
            Rig.sleep(200);
        }
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        router.recordLog("stream-ended", "engine-");
        List<String> lost = new ArrayList<>();
        for (Client.Answer answer : answers) {
            Double spoilt = spoiltAt.get(answer.id);
            if (spoilt == null) {
                if (!(answer.status == 200 && answer.whole)) {
                    lost.add(answer.id + " was not served although its stream was good");
                }
                continue;
            }
            double after = answer.endedAt - spoilt;
            rig.log(String.format(Locale.ROOT, "judged: %s, %.0f ms after its stream was spoilt", answer, after));
            if (answer.whole && answer.status == 200) {
                lost.add(answer.id + " was ended with the last chunk though its stream was not whole");
            } else if (after > END_WITHIN_MILLIS) {
                lost.add(String.format(Locale.ROOT, "%s: its client still waited %.1f s after the stream was spoilt", answer.id, after / 1000));
            }
        }
        rig.exit(
                lost.isEmpty() ? 0 : 1,
                lost.size() + " of " + answers.size() + " requests (" + spoiltAt.size() + " spoilt) were lost"
                        + (lost.isEmpty() ? "" : ": " + String.join("; ", lost)));
    }

    private void request(Rig.RouterProcess router) {
        try {
            Client client = new Client(rig, router.port);
            Client.Answer answer = client.request("results-lookup", 6000, PATIENCE_MILLIS);
            rig.log("client: " + answer);
            answers.add(answer);
            client.close();
        } catch (IOException e) {
            rig.log("client: " + e);
        }
    }

    private void answer(Engine.Request request) throws IOException {
        if (!rig.trouble || received.incrementAndGet() % SPOILT_ONE_IN != 0) {
            request.stream(100, 10, 100, false);
            return;
        }
        request.beginStream(100);
        for (int i = 0; i < 3; i++) {
            request.sendEvent(i, 0);
            Rig.sleep(100);
        }
        // The size says 300 bytes more than come.
        request.sendEvent(3, 300);
        spoiltAt.put(request.id(), rig.now());
        rig.log(request.engine.name + ": spoils the stream of " + request.id());
        Rig.sleep(PATIENCE_MILLIS + 10_000);
    }
}
