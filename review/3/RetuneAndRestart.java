import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** New settings with shorter deadlines (SIGHUP), and a planned restart (SIGTERM, then SIGKILL) some seconds after. */
public final class RetuneAndRestart {
    private static final long LONGEST_DEADLINE_MS = 1_800;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; here 50 ms later than that. */
    private static final long KILL_AFTER_MS = LONGEST_DEADLINE_MS + 750;
    /** Within the deadline, and longer than what is left until SIGKILL. */
    private static final long FIRST_TOKEN_MS = 1_650;
    private static final int CLIENTS = 6;

    private final Rig rig;
    private final Set<String> shortTurns = ConcurrentHashMap.newKeySet();

    private RetuneAndRestart(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new RetuneAndRestart(rig).run());
    }

    private static List<String> newClasses() {
        return List.of(
                Rig.requestClass("results-lookup", "pure", 1200, LONGEST_DEADLINE_MS),
                Rig.requestClass("sheet-summary", "pure", 1200, LONGEST_DEADLINE_MS),
                Rig.requestClass("desk-chat", "pure", 600, 1500));
    }

    private int run() throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.Engine engine = rig.new Engine("s-" + i,
                    work -> work.stream(shortTurns.contains(work.id) ? 50 : FIRST_TOKEN_MS, 20, 10));
            discovery.put(engine.id, engine.port(), i % 2 == 0 ? "anping" : "yongkang", "Ready", 0);
        }
        // RELOAD=0 starts the routers with the new settings instead: the rule holds then.
        boolean reloads = !"0".equals(System.getenv("RELOAD"));
        List<Rig.Router> routers =
                rig.startRouters(2, discovery, reloads ? Rig.usualClasses() : newClasses(), true);
        Thread.sleep(1_500);
        if (rig.trouble && reloads) {
            for (int i = 0; i < 2; i++) {
                Files.writeString(rig.configurationFile(i), Rig.configuration("n" + i, Rig.address(discovery.port()),
                        discovery.whole(), newClasses(), true, 2, i));
                routers.get(i).signal("HUP");
            }
            Thread.sleep(5_000);
        }
        List<Rig.Connection> kept = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = Rig.newId();
            shortTurns.add(id);
            Rig.Connection connection = rig.new Connection(routers.get(0).port);
            connection.sendChat(id, "desk-chat", "anping-harbour-rc", 1_500);
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
                Thread.sleep(1_000 + client * 100L);
                all.add(rig.ask(kept.get(client), routers.get(1), "results-lookup", LONGEST_DEADLINE_MS, Rig.newId(), term,
                        KILL_AFTER_MS));
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        int lost = 0;
        for (Rig.Sent sent : all) {
            boolean answered = sent.reply().status != 0;
            lost += answered ? 0 : 1;
            rig.log("request %s, sent %.0f ms after SIGTERM%s: %s, ended %.0f ms after SIGTERM: %s", sent.id(), sent.sentMs(),
                    sent.sentAgain() ? " and once more at the other router" : "", sent.reply(), sent.endedMs(),
                    answered ? "held" : "LOST");
        }
        rig.log("%d of %d requests got no answer", lost, all.size());
        return all.size() < CLIENTS ? Rig.NOT_RUN : lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
