import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Usual clients, and beside each a bad one: it sends a whole request with the id of the usual client's open request and
 * closes its connection. One half of the bad clients come before the first token of the answer, the other within the
 * stream.
 */
final class IdInUseCase {
    private static final int REQUESTS = 10;
    private static final int BUDGET_MILLIS = 6000;
    /** A request has to get its final answer within its time; half a second later it is lost. */
    private static final int LOST_AFTER_MILLIS = BUDGET_MILLIS + 500;
    private static final int PATIENCE_MILLIS = 12_000;

    private final Rig rig;
    private final List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());

    private IdInUseCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws IOException {
        Rig.play(arguments, rig -> new IdInUseCase(rig).run());
    }

    private void run() throws IOException {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < 3; i++) {
            // The first token after 400 ms, then an event for every four tokens, a token every 50 ms: 2.4 s in all.
            Engine engine = new Engine(rig, "engine-" + i, request -> request.stream(400, 11, 200, false));
            discovery.put("s-" + i, engine.port(), "Ready");
        }
        String settings = Settings.of(
                Settings.requestClass("results-lookup", BUDGET_MILLIS, 1200, "pure", 5000), true, 250, "subscribe", 1);
        Rig.RouterProcess router =
                rig.router("n1", Rig.freePort(), discovery.port(), settings, discovery.list(), Map.of());
        router.startAndAwait();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId();
            boolean withinStream = i % 2 == 1;
            clients.add(Rig.daemon(() -> request(router, id)));
            if (rig.trouble) {
                clients.add(Rig.daemon(() -> disturb(router, id, withinStream ? 1000 : 150)));
            }
            Rig.sleep(500);
        }
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        router.recordLog("stream-ended", "exception");
        List<String> lost = new ArrayList<>();
        for (Client.Answer answer : answers) {
            double took = answer.endedAt - answer.sentAt;
            rig.log(String.format(Locale.ROOT, "judged: %s, after %.0f ms", answer, took));
            if (answer.status == 0 && (took > LOST_AFTER_MILLIS || answer.end.contains("closed"))) {
                lost.add(answer.id + " got no answer");
            } else if (!answer.whole && answer.end.startsWith("no answer")) {
                lost.add(answer.id + " got " + answer.events + " events of its stream, and neither the rest nor an end");
            }
        }
        rig.exit(
                lost.isEmpty() ? 0 : 1,
                lost.size() + " of " + answers.size() + " usual requests were lost" + (lost.isEmpty() ? "" : ": " + String.join("; ", lost)));
    }

    private void request(Rig.RouterProcess router, String id) {
        try {
            Client client = new Client(rig, router.port);
            Client.Answer answer = client.request(id, "results-lookup", BUDGET_MILLIS, PATIENCE_MILLIS);
            rig.log("client: " + answer);
            answers.add(answer);
            client.close();
        } catch (IOException e) {
            rig.log("client: " + e);
        }
    }

    private void disturb(Rig.RouterProcess router, String id, int afterMillis) {
        Rig.sleep(afterMillis);
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(Rig.LOOPBACK, router.port), 2000);
            socket.getOutputStream()
                    .write(Client.platformRequest(id, "results-lookup", BUDGET_MILLIS).getBytes(StandardCharsets.US_ASCII));
            rig.log("bad client: sent " + id + " and goes");
        } catch (IOException e) {
            rig.log("bad client: " + e);
        }
    }
}
