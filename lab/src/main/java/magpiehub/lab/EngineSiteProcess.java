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
    private static final long REPORT_INTERVAL_MILLIS = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An engine with its server socket and connections. */
    private final class EngineServer implements Runnable {
        final String id;
        final EngineModel engine;
        final ServerSocket server;
        final Set<Socket> connections = new HashSet<>();
        final SplittableRandom random;
        boolean draining;
        boolean silent;
        double errorRate;

        EngineServer(String id, InetSocketAddress address, boolean cold) throws IOException {
            this.id = id;
            this.engine = new EngineModel(parameters, cold ? nowMicros() : Long.MIN_VALUE / 2);
            this.random = new SplittableRandom(id.hashCode());
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(address, 512);
        }

        void start() {
            DaemonThreads.newThread(id + "-steps", this).start();
            DaemonThreads.newThread(id + "-accept", this::accept).start();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (this) {
                        connections.add(socket);
                    }
                    DaemonThreads.newThread(id + "-call", () -> handleConnection(socket))
                            .start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Runs steps while there is work; the tokens of a step are sent at its end. */
        @Override
        public void run() {
            while (true) {
                long stepMicros;
                synchronized (this) {
                    stepMicros = silent ? 0 : engine.startStep(nowMicros());
                    if (stepMicros == 0) {
                        await(this, 0);
                        continue;
                    }
                }
                sleep(stepMicros);
                synchronized (this) {
                    if (!silent) {
                        engine.finishStep();
                    }
                }
            }
        }

        private void handleConnection(Socket socket) {
            EngineModel.Sequence[] current = new EngineModel.Sequence[1];
            try (socket) {
                HttpReader in = new HttpReader(socket.getInputStream(), EngineSiteProcess::nowMicros);
                while (in.awaitMessage()) {
                    HttpHead head = in.readRequestHead();
                    byte[] body = in.readBody(head);
                    if (head.method().equals("POST")) {
                        current[0] = handleCompletion(head, body, socket);
                    } else {
                        synchronized (this) {
                            if (!silent) {
                                respond(socket, head.target().equals("/alive") ? 200 : 404, "");
                            }
                        }
                    }
                    if (head.closesConnection()) {
                        in.awaitMessage(); // The sequence ends when complete or when the connection closes.
                        return;
                    }
                }
            } catch (IOException e) {
                // The router has disconnected; its sequence is cancelled below.
            } finally {
                synchronized (this) {
                    connections.remove(socket);
                    if (current[0] != null) {
                        engine.cancel(current[0]);
                    }
                }
            }
        }

        private EngineModel.Sequence handleCompletion(HttpHead head, byte[] body, Socket socket) throws IOException {
            String requestId = head.headers().get("X-Call-Id");
            JsonNode request = JSON.readTree(body);
            StringBuilder prompt = new StringBuilder();
            request.path("messages")
                    .forEach(m -> prompt.append(m.path("content").asText()));
            ResponseStream stream = new ResponseStream(socket, requestId, prompt.length() / 4);
            EngineModel.Sequence sequence = new EngineModel.Sequence(
                    prompt.toString(), request.path("max_tokens").asInt(), stream);
            boolean crashed = false;
            boolean accepted;
            synchronized (this) {
                if (silent) {
                    emit("a " + nowMicros() + " " + id + " " + requestId + " unheard");
                    return null;
                }
                if (errorRate > 0 && random.nextDouble() < errorRate) {
                    respond(socket, 500, "");
                    emit("a " + nowMicros() + " " + id + " " + requestId + " error");
                    return null;
                }
                boolean crashedBefore = engine.hasCrashed();
                accepted = engine.enqueue(sequence, nowMicros()) && !draining;
                crashed = engine.hasCrashed() && !crashedBefore;
                if (accepted) {
                    notifyAll();
                } else {
                    engine.cancel(sequence);
                }
            }
            emit("a " + nowMicros() + " " + id + " " + requestId + (accepted ? " taken" : " away"));
            if (crashed) {
                crash();
            } else if (!accepted) {
                respond(socket, 503, "X-Rejected: 1\r\n");
            }
            return accepted ? sequence : null;
        }

        /** Simulates a crash: connections are reset and new ones refused. */
        private void crash() throws IOException {
            emit("fell " + nowMicros() + " " + id);
            server.close();
            synchronized (this) {
                connections.forEach(Relay::abort);
            }
        }
    }

    /**
     * A response stream. Each event names the request and its token range, so that a client can verify that it received
     * the complete stream of one engine.
     */
    private static final class ResponseStream implements EngineModel.TokenListener {
        private final Socket output;
        private final String requestId;
        private final int prompt;
        private final HttpWriter out = new HttpWriter();
        private boolean started;

        ResponseStream(Socket output, String requestId, int prompt) {
            this.output = output;
            this.requestId = requestId;
            this.prompt = prompt;
        }

        @Override
        public void onTokens(int from, int until, boolean last, int cached) {
            if (!started) {
                started = true;
                out.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
            }
            appendEvent("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + requestId + " " + from + " " + until
                    + ";\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}");
            if (last) {
                appendEvent("{\"choices\":[],\"usage\":{\"prompt_tokens\":" + prompt + ",\"completion_tokens\":" + until
                        + ",\"prompt_tokens_details\":{\"cached_tokens\":" + cached + "}}}");
                appendEvent("[DONE]");
                out.appendLastChunk();
            }
            try {
                out.flushTo(output.getOutputStream());
            } catch (IOException e) {
                out.take(); // The thread that reads this connection detects its end.
            }
        }

        private void appendEvent(String json) {
            out.appendChunk(("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private final PrintStream out;
    private final Map<String, EngineServer> engines = new LinkedHashMap<>();
    private EngineModel.Parameters parameters;

    private EngineSiteProcess(PrintStream out) {
        this.out = out;
    }

    private void emit(String line) {
        synchronized (out) {
            out.append(line).append('\n');
        }
    }

    private static void respond(Socket socket, int status, String headers) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The monotonic clock (us), which all processes of the machine share. */
    static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Waits on a monitor that the caller holds, at most for the given time (us); 0 waits until notified. */
    @SuppressWarnings("WaitNotInLoop") // Callers check their condition in a loop.
    static void await(Object monitor, long micros) {
        try {
            if (micros == 0) {
                monitor.wait();
            } else {
                monitor.wait(micros / 1000, (int) (micros % 1000) * 1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleep(long micros) {
        try {
            java.util.concurrent.TimeUnit.MICROSECONDS.sleep(micros);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void execute(String[] words) throws IOException {
        if (words[0].equals("build")) {
            double[] values = java.util.Arrays.stream(words)
                    .skip(1)
                    .mapToDouble(Double::parseDouble)
                    .toArray();
            parameters = new EngineModel.Parameters(
                    (int) values[0],
                    (int) values[1],
                    values[2],
                    values[3],
                    (int) values[4],
                    (int) values[5],
                    (int) values[6],
                    (long) values[7],
                    values[8],
                    (long) values[9],
                    values[10]);
            return;
        }
        if (words[0].equals("add")) {
            EngineServer engineServer = new EngineServer(
                    words[1], magpiehub.config.HostPort.toSocketAddress(words[2]), words[3].equals("cold"));
            engines.put(words[1], engineServer);
            engineServer.start();
            emit("up " + words[1]);
            return;
        }
        EngineServer engineServer = engines.get(words[1]);
        if (engineServer == null) {
            emit("unknown " + words[1]);
            return;
        }
        synchronized (engineServer) {
            switch (words[0]) {
                case "drain" -> engineServer.draining = true;
                case "slow" -> engineServer.engine.setSlowdown(Double.parseDouble(words[2]));
                case "errors" -> engineServer.errorRate = Double.parseDouble(words[2]);
                case "silent" -> engineServer.silent = true;
                case "heard" -> engineServer.silent = false;
                default -> emit("unknown " + words[0]);
            }
            engineServer.notifyAll();
        }
    }

    /** Runs until standard input closes, which happens when the laboratory's process ends. */
    static void run() throws IOException {
        EngineSiteProcess site = new EngineSiteProcess(new PrintStream(
                new java.io.BufferedOutputStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), 1 << 16),
                false,
                StandardCharsets.UTF_8));
        DaemonThreads.newThread("reports", site::reportLoads).start();
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            try {
                synchronized (site.engines) {
                    site.execute(line.strip().split(" "));
                }
            } catch (SocketException e) {
                site.emit("failed " + line + ": " + e.getMessage());
            }
        }
    }

    private void reportLoads() {
        while (true) {
            sleep(REPORT_INTERVAL_MILLIS * 1000);
            synchronized (engines) {
                for (EngineServer engineServer : engines.values()) {
                    synchronized (engineServer) {
                        long now = nowMicros();
                        emit("l " + now + " " + engineServer.id + " " + engineServer.engine.running() + " "
                                + engineServer.engine.waiting() + " "
                                + Math.round(1000 * engineServer.engine.speed(now)));
                    }
                }
            }
            synchronized (out) {
                out.flush();
            }
        }
    }
}
