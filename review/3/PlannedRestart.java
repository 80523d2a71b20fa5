import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A planned restart (SIGTERM, then SIGKILL) at a site whose clients do not ask for the rest of a stream. */
public final class PlannedRestart {
    /** SIGKILL comes no sooner than 3.7 s after SIGTERM: 3 s for the longest deadline, and 0.7 s; here 50 ms later. */
    private static final long KILL_AFTER_MS = 3_750;
    /** An answer of 190 tokens, one each 20 ms. */
    private static final int TOKENS = 190;
    private static final long TOKEN_MS = 20;
    private static final int CLIENTS = 8;

    private final Rig rig;
    private final Set<String> shortTurns = ConcurrentHashMap.newKeySet();

    private PlannedRestart(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new PlannedRestart(rig).run());
    }

    private int run() throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.Engine engine = rig.new Engine("s-" + i,
                    work -> work.stream(150, shortTurns.contains(work.id) ? 5 : TOKENS, TOKEN_MS));
            discovery.put(engine.id, engine.port(), i % 2 == 0 ? "anping" : "yongkang", "Ready", 0);
        }
        List<Rig.Router> routers = rig.startRouters(2, discovery, Rig.usualClasses(), false);
        Thread.sleep(1_000);
        List<Rig.Connection> kept = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = Rig.newId();
            shortTurns.add(id);
            Rig.Connection connection = rig.new Connection(routers.get(0).port);
            connection.sendChat(id, "results-lookup", "anping-harbour-rc", 6_000);
            Rig.Reply reply = connection.readAnswer(10_000);
            rig.log("request %s, before the restart: %s", id, reply);
            if (reply.status != 200 || !reply.whole) {
                return Rig.NOT_RUN;
            }
            kept.add(connection);
        }

        double term = rig.now();
        if (rig.trouble) {
            rig.restart(routers.get(0), KILL_AFTER_MS);
        }
        List<Rig.Sent> all = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Rig.daemon(() -> {
                // More than 0.7 s after SIGTERM, on a connection that the router has kept open.
                Thread.sleep(800 + client * 100L);
                all.add(rig.ask(kept.get(client), routers.get(1), "results-lookup", 6_000, Rig.newId(), term, KILL_AFTER_MS));
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        int lost = 0;
        for (Rig.Sent sent : all) {
            boolean isWhole = sent.reply().whole;
            lost += isWhole ? 0 : 1;
            rig.log("request %s, sent %.0f ms after SIGTERM%s: %s, ended %.0f ms after SIGTERM: %s", sent.id(), sent.sentMs(),
                    sent.sentAgain() ? " and once more at the other router" : "", sent.reply(), sent.endedMs(),
                    isWhole ? "held" : "LOST");
        }
        rig.log("%d of %d requests lost", lost, all.size());
        return all.size() < CLIENTS ? Rig.NOT_RUN : lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
