import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two engines that discard repeats of a request for 2.5 s. The first engine that gets a request begins it and resets
 * its connection 2.1 s later; meanwhile a new connection to the other engine comes up a second late.
 */
final class LateRepeatCase {
    private static final int WINDOW_MILLIS = 2500;
    /** Every time limit is 50 ms longer on sockets, and a router may be held up for 150 ms before it writes. */
    private static final int SLACK_MILLIS = 200;
    private static final int RESET_AFTER_MILLIS = 2100;
    private static final int ROUNDS = 5;

    private final Rig rig;
    private final Engine[] engines = new Engine[2];
    /** When a request first came to an engine, and so when the engines began to discard repeats of it. */
    private final Map<String, Double> firstRun = new ConcurrentHashMap<>();
    private final List<String> broken = new ArrayList<>();

    private LateRepeatCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws IOException {
        Rig.play(arguments, rig -> new LateRepeatCase(rig).run());
    }

    private void run() throws IOException {
        Discovery discovery = new Discovery(rig);
        for (int i = 0; i < engines.length; i++) {
            engines[i] = new Engine(rig, "engine-" + i, 1, this::handle);
            discovery.put("s-" + i, engines[i].port(), "Ready");
        }
        String settings = Settings.of(
                Settings.requestClass("sheet-summary", 7000, 3000, "token", WINDOW_MILLIS), true, 1500, "subscribe", 1);
        Rig.RouterProcess router =
                rig.router("n1", Rig.freePort(), discovery.port(), settings, discovery.list(), Map.of());
        router.startAndAwait();
        for (int round = 0; round < ROUNDS; round++) {
            Client client = new Client(rig, router.port);
            Client.Answer answer = client.request("sheet-summary", 7000, 9000);
            rig.log("client: " + answer);
            client.close();
            if (!rig.trouble && !(answer.status == 200 && answer.whole)) {
                rig.exit(1, "a request was not served although nothing disturbed it");
            }
            Rig.sleep(300);
        }
        router.recordLog("engine-", "module");
        synchronized (broken) {
            rig.exit(broken.isEmpty() ? 0 : 1, broken.isEmpty() ? "no request ran twice in " + ROUNDS : String.join("; ", broken));
        }
    }

    private void handle(Engine.Request request) throws IOException {
        Double first = firstRun.putIfAbsent(request.id(), request.receivedAt);
        Engine other = engines[request.engine == engines[0] ? 1 : 0];
        if (first == null) {
            rig.log(request.engine.name + ": runs " + request.id());
            if (!rig.trouble) {
                request.stream(100, 5, 50, true);
                return;
            }
            other.delayConnections();
            Rig.sleep(RESET_AFTER_MILLIS - (rig.now() - request.receivedAt));
            request.reset();
            Rig.sleep(400);
            other.comeUp();
            return;
        }
        double after = request.receivedAt - first;
        if (after <= WINDOW_MILLIS) {
            rig.log(request.engine.name + ": discards a repeat of " + request.id());
            request.stream(100, 5, 50, true);
            return;
        }
        rig.log(String.format(Locale.ROOT, "%s: runs %s once more, %.0f ms after its first run began", request.engine.name, request.id(), after));
        if (after > WINDOW_MILLIS + SLACK_MILLIS) {
            synchronized (broken) {
                broken.add(String.format(Locale.ROOT, "%s ran twice: its repeat came %.0f ms after the first attempt", request.id(), after));
            }
        }
        request.stream(100, 5, 50, true);
    }
}
