import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Three routers with the replicated store. An operator's edit maps a model to a class and is seen at all three; then
 * one of them is killed and started again, and the operator maps the model to another class there. A model's class
 * shows in the deadline that the engine is told: 6 s or 20 s.
 */
final class StoreEditCase {
    private static final int ROUTERS = 3;
    private static final int ROUNDS = 5;
    private static final String FIRST = "results-lookup";
    private static final String SECOND = "sheet-summary";

    private final Rig rig;
    private final int[] storePorts = new int[ROUTERS];
    private final int[] messagePorts = new int[ROUTERS];
    /** The budget that the engine was told, by the request's id. */
    private final Map<String, Integer> budgets = new ConcurrentHashMap<>();

    private StoreEditCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws IOException {
        Rig.play(arguments, rig -> new StoreEditCase(rig).run());
    }

    private void run() throws IOException {
        Discovery discovery = new Discovery(rig);
        Engine engine = new Engine(rig, "engine", request -> {
            budgets.put(request.id(), Integer.parseInt(request.headers.get("x-budget-ms")));
            request.stream(5, 2, 5, false);
        });
        discovery.put("s-0", engine.port(), "Ready");
        String settings = Settings.of(
                Settings.requestClass(FIRST, 6000, 1200, "pure", 5000) + ","
                        + Settings.requestClass(SECOND, 20000, 3000, "pure", 5000),
                true, 250, "subscribe", ROUTERS);
        for (int i = 0; i < ROUTERS; i++) {
            storePorts[i] = Rig.freePort();
            messagePorts[i] = Rig.freePort();
        }
        Rig.RouterProcess[] routers = new Rig.RouterProcess[ROUTERS];
        for (int i = 0; i < ROUTERS; i++) {
            List<String> peers = new ArrayList<>();
            for (int j = 0; j < ROUTERS; j++) {
                if (j != i) {
                    peers.add('"' + Rig.address(storePorts[j]) + '"');
                }
            }
            Map<String, String> deploy = Map.of(
                    "store.json",
                    "{\"listen\":\"" + Rig.address(storePorts[i]) + "\",\"peers\":[" + String.join(",", peers) + "]}",
                    "messages.json",
                    "{\"listen\":\"" + Rig.address(messagePorts[i]) + "\",\"tenant\":\"anping-harbour-rc\"}");
            routers[i] = rig.router(
                    "n" + (i + 1), Rig.freePort(), discovery.port(), settings, discovery.list(), deploy);
            routers[i].startAndAwait();
        }
        Rig.sleep(1500);

        for (int round = 0; round < ROUNDS; round++) {
            String model = "model-" + round;
            // The first edit goes to each of the routers in turn.
            edit(round % ROUTERS, model, FIRST);
            if (!awaitEverywhere(model, FIRST, 10_000)) {
                rig.exit(2, "the first edit of " + model + " did not reach all routers");
            }
            Rig.sleep(1000);
            if (rig.trouble) {
                routers[0].kill();
                routers[0].launch();
            }
            edit(0, model, SECOND);
            if (rig.trouble) {
                routers[0].awaitUp();
            }
            Rig.sleep(2000);
        }
        // The links connect each 0.5 s; all edits had many times that.
        Rig.sleep(5000);
        List<String> lost = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            String model = "model-" + round;
            StringBuilder seen = new StringBuilder();
            boolean everywhere = true;
            for (int i = 0; i < ROUTERS; i++) {
                String className = classAt(i, model);
                seen.append(i == 0 ? "" : ", ").append("n").append(i + 1).append(' ').append(className);
                everywhere &= className.equals(SECOND);
            }
            rig.log("at the end " + model + ": " + seen);
            if (!everywhere) {
                lost.add(model + " (" + seen + ")");
            }
        }
        rig.exit(
                lost.isEmpty() ? 0 : 1,
                lost.size() + " of " + ROUNDS + " second edits did not reach every router" + (lost.isEmpty() ? "" : ": " + String.join("; ", lost)));
    }

    /** Gives one router an edit, as soon as it takes connections. */
    private void edit(int router, String model, String className) throws IOException {
        double deadline = rig.now() + 20_000;
        while (rig.now() < deadline) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Rig.LOOPBACK, storePorts[router]), 500);
                socket.getOutputStream()
                        .write(("{\"key\":\"messages/model/" + model + "\",\"value\":\"" + className + "\"}\n")
                                .getBytes(StandardCharsets.US_ASCII));
                socket.shutdownOutput();
                // The router closes the connection once it has read the edit.
                socket.setSoTimeout(2000);
                int end = socket.getInputStream().read();
                rig.log("operator: n" + (router + 1) + " took " + model + " = " + className + " (read " + end + ")");
                return;
            } catch (IOException e) {
                Rig.sleep(20);
            }
        }
        rig.exit(2, "n" + (router + 1) + " took no edit");
    }

    private boolean awaitEverywhere(String model, String className, int millis) throws IOException {
        double deadline = rig.now() + millis;
        while (rig.now() < deadline) {
            boolean everywhere = true;
            for (int i = 0; i < ROUTERS && everywhere; i++) {
                everywhere = classAt(i, model).equals(className);
            }
            if (everywhere) {
                rig.log("all routers serve " + model + " as " + className);
                return true;
            }
            Rig.sleep(100);
        }
        return false;
    }

    /** The class as which a router serves a model, or what it answers instead. */
    private String classAt(int router, String model) throws IOException {
        Client client = new Client(rig, messagePorts[router]);
        Client.Answer answer = client.message(model, 8000);
        client.close();
        Integer budget = budgets.get(answer.id);
        if (answer.status != 200 || budget == null) {
            return "status " + answer.status;
        }
        return budget > 6000 ? SECOND : FIRST;
    }
}
