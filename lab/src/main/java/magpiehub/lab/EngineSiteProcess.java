package magpiehub.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.http.HttpWriter;

/**
 * Process that serves all simulated engines of one site, each at an address of its own, with the platform's engine
 * protocol. Reads commands as lines from standard input and reports events as lines on standard output. Events describe
 * only what the engines observe, never the router's intent.
 *
 * <p>Commands: {@code build ...}, {@code add ID HOST:PORT warm|cold}, {@code drain ID}, {@code slow ID FACTOR},
 * {@code errors ID SHARE}, {@code silent ID}, {@code heard ID}. Events: {@code up ID},
 * {@code a US ID REQUEST taken|away|error|unheard} (a request arrived), {@code l US ID RUNNING WAITING SPEED} (load;
 * the speed is in thousandths), {@code fell US ID} (the engine crashed). Times are in microseconds.
 */
final class EngineSiteProcess {
    private static final long REPORT_MS = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An engine with its server socket and connections. */
    private final class Served implements Runnable {
        final String id;
        final EngineModel engine;
        final ServerSocket server;
        final Set<Socket> open = new HashSet<>();
        final SplittableRandom random;
        boolean draining;
        boolean silent;
        double errors;

        Served(String id, InetSocketAddress at, boolean cold) throws IOException {
            this.id = id;
            this.engine = new EngineModel(build, cold ? nowMicros() : Long.MIN_VALUE / 2);
            this.random = new SplittableRandom(id.hashCode());
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(at, 512);
        }

        void start() {
            DaemonThreads.newThread(id + "-steps", this).start();
            DaemonThreads.newThread(id + "-accept", this::accept).start();
        }

        private void accept() {
            while (true) {
                try {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    synchronized (this) {
                        open.add(s);
                    }
                    DaemonThreads.newThread(id + "-call", () -> serve(s)).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Runs steps while there is work; the tokens of a step are sent at its end. */
        @Override
        public void run() {
            while (true) {
                long takes;
                synchronized (this) {
                    takes = silent ? 0 : engine.step(nowMicros());
                    if (takes == 0) {
                        await(this, 0);
                        continue;
                    }
                }
                sleep(takes);
                synchronized (this) {
                    if (!silent) {
                        engine.give();
                    }
                }
            }
        }

        private void serve(Socket s) {
            EngineModel.Sequence[] now = new EngineModel.Sequence[1];
            try (s) {
                HttpReader in = new HttpReader(s.getInputStream(), EngineSiteProcess::nowMicros);
                while (in.awaitMessage()) {
                    HttpHead h = in.readRequestHead();
                    byte[] body = in.readBody(h);
                    if (h.method().equals("POST")) {
                        now[0] = post(h, body, s);
                    } else {
                        synchronized (this) {
                            if (!silent) {
                                answer(s, h.target().equals("/alive") ? 200 : 404, "");
                            }
                        }
                    }
                    if (h.closesConnection()) {
                        in.awaitMessage(); // The sequence ends when complete or when the connection closes.
                        return;
                    }
                }
            } catch (IOException e) {
                // The router has disconnected; its sequence is cancelled below.
            } finally {
                synchronized (this) {
                    open.remove(s);
                    if (now[0] != null) {
                        engine.drop(now[0]);
                    }
                }
            }
        }

        private EngineModel.Sequence post(HttpHead h, byte[] body, Socket s) throws IOException {
            String call = h.headers().get("X-Call-Id");
            JsonNode asked = JSON.readTree(body);
            StringBuilder prompt = new StringBuilder();
            asked.path("messages").forEach(m -> prompt.append(m.path("content").asText()));
            Stream to = new Stream(s, call, prompt.length() / 4);
            EngineModel.Sequence q = new EngineModel.Sequence(
                    prompt.toString(), asked.path("max_tokens").asInt(), to);
            boolean fell = false;
            boolean taken;
            synchronized (this) {
                if (silent) {
                    say("a " + nowMicros() + " " + id + " " + call + " unheard");
                    return null;
                }
                if (errors > 0 && random.nextDouble() < errors) {
                    answer(s, 500, "");
                    say("a " + nowMicros() + " " + id + " " + call + " error");
                    return null;
                }
                boolean before = engine.fallen();
                taken = engine.take(q, nowMicros()) && !draining;
                fell = engine.fallen() && !before;
                if (taken) {
                    notifyAll();
                } else {
                    engine.drop(q);
                }
            }
            say("a " + nowMicros() + " " + id + " " + call + (taken ? " taken" : " away"));
            if (fell) {
                fall();
            } else if (!taken) {
                answer(s, 503, "X-Rejected: 1\r\n");
            }
            return taken ? q : null;
        }

        /** Simulates a crash: connections are reset and new ones refused. */
        private void fall() throws IOException {
            say("fell " + nowMicros() + " " + id);
            server.close();
            synchronized (this) {
                open.forEach(Relay::abort);
            }
        }
    }

    /**
     * A response stream. Each event names the request and its token range, so that a client can verify that it received
     * the complete stream of one engine.
     */
    private static final class Stream implements EngineModel.TokenListener {
        private final Socket to;
        private final String call;
        private final int prompt;
        private final HttpWriter out = new HttpWriter();
        private boolean begun;

        Stream(Socket to, String call, int prompt) {
            this.to = to;
            this.call = call;
            this.prompt = prompt;
        }

        @Override
        public void tokens(int from, int until, boolean last, int cached) {
            if (!begun) {
                begun = true;
                out.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
            }
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + call + " " + from + " " + until
                    + ";\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}");
            if (last) {
                event("{\"choices\":[],\"usage\":{\"prompt_tokens\":" + prompt + ",\"completion_tokens\":" + until
                        + ",\"prompt_tokens_details\":{\"cached_tokens\":" + cached + "}}}");
                event("[DONE]");
                out.appendLastChunk();
            }
            try {
                out.flushTo(to.getOutputStream());
            } catch (IOException e) {
                out.take(); // The thread that reads this connection detects its end.
            }
        }

        private void event(String json) {
            out.appendChunk(("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private final PrintStream out;
    private final Map<String, Served> engines = new LinkedHashMap<>();
    private EngineModel.Parameters build;

    private EngineSiteProcess(PrintStream out) {
        this.out = out;
    }

    private void say(String line) {
        synchronized (out) {
            out.append(line).append('\n');
        }
    }

    private static void answer(Socket s, int status, String headers) throws IOException {
        s.getOutputStream()
                .write(("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The monotonic clock (us), which all processes of the machine share. */
    static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Waits on a monitor that the caller holds, at most for the given time (us); 0 waits until notified. */
    @SuppressWarnings("WaitNotInLoop") // Callers check their condition in a loop.
    static void await(Object monitor, long us) {
        try {
            if (us == 0) {
                monitor.wait();
            } else {
                monitor.wait(us / 1000, (int) (us % 1000) * 1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleep(long us) {
        try {
            java.util.concurrent.TimeUnit.MICROSECONDS.sleep(us);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void command(String[] w) throws IOException {
        if (w[0].equals("build")) {
            double[] v = java.util.Arrays.stream(w)
                    .skip(1)
                    .mapToDouble(Double::parseDouble)
                    .toArray();
            build = new EngineModel.Parameters(
                    (int) v[0],
                    (int) v[1],
                    v[2],
                    v[3],
                    (int) v[4],
                    (int) v[5],
                    (int) v[6],
                    (long) v[7],
                    v[8],
                    (long) v[9],
                    v[10]);
            return;
        }
        if (w[0].equals("add")) {
            Served e = new Served(w[1], magpiehub.config.HostPort.toSocketAddress(w[2]), w[3].equals("cold"));
            engines.put(w[1], e);
            e.start();
            say("up " + w[1]);
            return;
        }
        Served e = engines.get(w[1]);
        if (e == null) {
            say("unknown " + w[1]);
            return;
        }
        synchronized (e) {
            switch (w[0]) {
                case "drain" -> e.draining = true;
                case "slow" -> e.engine.slow(Double.parseDouble(w[2]));
                case "errors" -> e.errors = Double.parseDouble(w[2]);
                case "silent" -> e.silent = true;
                case "heard" -> e.silent = false;
                default -> say("unknown " + w[0]);
            }
            e.notifyAll();
        }
    }

    /** Runs until standard input closes, which happens when the laboratory's process ends. */
    static void run() throws IOException {
        EngineSiteProcess site = new EngineSiteProcess(new PrintStream(
                new java.io.BufferedOutputStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), 1 << 16),
                false,
                StandardCharsets.UTF_8));
        DaemonThreads.newThread("reports", site::reports).start();
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String l = in.readLine(); l != null; l = in.readLine()) {
            try {
                synchronized (site.engines) {
                    site.command(l.strip().split(" "));
                }
            } catch (SocketException e) {
                site.say("failed " + l + ": " + e.getMessage());
            }
        }
    }

    private void reports() {
        while (true) {
            sleep(REPORT_MS * 1000);
            synchronized (engines) {
                for (Served e : engines.values()) {
                    synchronized (e) {
                        long now = nowMicros();
                        say("l " + now + " " + e.id + " " + e.engine.running() + " " + e.engine.waiting() + " "
                                + Math.round(1000 * e.engine.speed(now)));
                    }
                }
            }
            synchronized (out) {
                out.flush();
            }
        }
    }
}
