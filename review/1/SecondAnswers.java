import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines that send some answers twice, the second time some milliseconds late, and routers that are held up for a tenth
 * of a second now and then. A client must get the events of the answer to its own request.
 */
public final class SecondAnswers {
    private static final int ROUTERS = 2;
    private static final int ENGINES = 3;
    /** Clients of one router that send at about the same time. */
    private static final int BURST = 12;
    /** One answer in so many is followed by a second one. */
    private static final int SECOND_ONE_IN = 3;
    private static final int SECOND_LATE_MS = 10;
    /** How long a router is held up; the pages allow 150 ms. */
    private static final long HELD_UP_MS = 100;
    /** The shortest time from one burst to the next: some tens of requests a second for each router. */
    private static final double TURN_MS = 300;
    private static final int EVENTS = 12;
    private static final double RUN_MS = 80_000;
    private static final int ENOUGH = 5;

    private final Rig rig;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger second = new AtomicInteger();
    private final AtomicInteger holdUps = new AtomicInteger();

    private SecondAnswers(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new SecondAnswers(rig).run());
    }

    private int run() throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < ENGINES; i++) {
            Rig.Engine engine = rig.new Engine("s-" + i, this::answer);
            discovery.put(engine.id, engine.port(), "anping", "Ready", 0);
        }
        List<Rig.Router> routers = rig.startRouters(ROUTERS, discovery, Rig.usualClasses(), true);
        Thread.sleep(1_000);
        double end = rig.now() + RUN_MS;
        List<Thread> threads = new ArrayList<>();
        for (Rig.Router router : routers) {
            threads.add(Rig.daemon(() -> load(router, end)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.log("%d requests served with their own events, %d refused or failed, %d served with events of another request; "
                + "%d second answers, %d hold-ups", served.get(), other.get(), foreign.get(), second.get(), holdUps.get());
        return served.get() == 0 ? Rig.NOT_RUN : foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** A stream whose events carry the request's id; some of them come once more, some milliseconds late. */
    private void answer(Rig.Work work) throws Exception {
        Thread.sleep(100);
        send(work, 2);
        if (rig.trouble && ThreadLocalRandom.current().nextInt(SECOND_ONE_IN) == 0) {
            Thread.sleep(1 + ThreadLocalRandom.current().nextInt(SECOND_LATE_MS));
            second.incrementAndGet();
            rig.log("engine %s sends the answer to %s a second time", work.engine.id, work.id);
            send(work, 0);
        }
    }

    private static void send(Rig.Work work, long periodMs) throws Exception {
        work.head();
        for (int i = 0; i < EVENTS; i++) {
            work.event(work.token(work.id + " "));
            Thread.sleep(periodMs);
        }
        work.end(EVENTS);
    }

    /** Two groups of clients in turn; while one has just been answered and the other sends, the router is held up. */
    private void load(Rig.Router router, double end) throws Exception {
        List<List<Rig.Connection>> groups = List.of(connect(router), connect(router));
        Process shell = new ProcessBuilder("/bin/sh").start();
        try (Writer commands = shell.outputWriter()) {
            double begun = rig.now();
            List<Thread> answered = send(router, groups.get(0));
            for (int turn = 1; rig.now() < end && foreign.get() < ENOUGH; turn++) {
                for (Thread client : answered) {
                    client.join();
                }
                if (!rig.trouble) {
                    Thread.sleep((long) Math.max(0, begun + TURN_MS - rig.now()));
                }
                begun = rig.now();
                if (rig.trouble) {
                    Thread.sleep(ThreadLocalRandom.current().nextInt(4));
                    signal(router, commands, "STOP");
                }
                answered = send(router, groups.get(turn % 2));
                if (rig.trouble) {
                    Thread.sleep(HELD_UP_MS);
                    signal(router, commands, "CONT");
                    holdUps.incrementAndGet();
                }
            }
            for (Thread client : answered) {
                client.join();
            }
        }
    }

    private void signal(Rig.Router router, Writer commands, String signal) throws IOException {
        rig.log("SIG%s to router %s", signal, router.name);
        commands.write("kill -" + signal + " " + router.process.pid() + "\n");
        commands.flush();
    }

    private List<Rig.Connection> connect(Rig.Router router) throws IOException {
        List<Rig.Connection> connections = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            connections.add(rig.new Connection(router.port));
        }
        return connections;
    }

    /** Sends a request on each connection; the threads end once all have been answered. */
    private List<Thread> send(Rig.Router router, List<Rig.Connection> connections) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            int client = i;
            clients.add(Rig.daemon(() -> connections.set(client, ask(router, connections.get(client)))));
        }
        return clients;
    }

    /** Sends a request and judges its answer; returns the connection for the next request. */
    private Rig.Connection ask(Rig.Router router, Rig.Connection connection) throws IOException {
        String id = Rig.newId();
        Rig.Reply reply;
        try {
            connection.sendChat(id, "results-lookup", "anping-harbour-rc", 6000);
            reply = connection.readAnswer(10_000);
        } catch (IOException e) {
            reply = new Rig.Reply();
            reply.broken = e.getMessage();
        }
        Set<String> ids = idsIn(reply.body.toString());
        boolean isForeign = reply.status == 200 && !ids.isEmpty() && !ids.equals(Set.of(id));
        rig.log("request %s to %s: %s%s", id, router.name, reply, isForeign ? ", with events of " + ids + ": FOREIGN" : "");
        (isForeign ? foreign : reply.status == 200 && reply.whole ? served : other).incrementAndGet();
        if (reply.whole && !"close".equals(reply.headers.get("connection"))) {
            return connection;
        }
        connection.close();
        return rig.new Connection(router.port);
    }

    private static Set<String> idsIn(String events) {
        Set<String> ids = new LinkedHashSet<>();
        for (String event : events.split("\n\n")) {
            int at = event.indexOf("\"content\":\"") + 11;
            if (at > 10 && event.length() > at + 16 && event.charAt(at) != '.') {
                ids.add(event.substring(at, at + 16));
            }
        }
        return ids;
    }
}
