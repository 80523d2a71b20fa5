package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/** Engines whose answers have faults that the seed draws for each attempt, and that record what they were sent. */
final class SoakEngines implements AutoCloseable {
    private static final int ENGINES = 3;
    private static final int BACKLOG = 256;
    private static final int MAX_EVENTS = 8;
    private static final int MAX_GAP_MS = 60;
    private static final long SILENCE_MS = 20_000;
    private static final int SLOW_STEP_BYTES = 4;
    private static final long SLOW_STEP_MS = 100;

    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FINISH =
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** What an engine does with an attempt, and how often in a hundred. */
    private enum Behaviour {
        WHOLE(64),
        LAST_CHUNK_TOO_EARLY(9),
        CHUNK_SIZE_READS_ZERO(3),
        RESET_IN_THE_STREAM(4),
        RESET_BEFORE_THE_STREAM(4),
        REJECTED(6),
        FAILED(3),
        SILENT_BEFORE_THE_STREAM(3),
        SILENT_IN_THE_STREAM(2),
        SLOW_EVENT(2);

        private final int percent;

        Behaviour(int percent) {
            this.percent = percent;
        }

        static Behaviour draw(SplittableRandom random) {
            int left = random.nextInt(100);
            for (Behaviour behaviour : values()) {
                left -= behaviour.percent;
                if (left < 0) {
                    return behaviour;
                }
            }
            return WHOLE;
        }
    }

    /** An attempt as its engine saw it. */
    static final class Attempt {
        final long takenNanos = System.nanoTime();
        volatile boolean rejected;
        /** The events of the answer, once it is whole. */
        volatile String wholeAnswer;
    }

    private final long seed;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final Map<String, List<Attempt>> attemptsById = new ConcurrentHashMap<>();

    SoakEngines(long seed) throws IOException {
        this.seed = seed;
        for (int i = 0; i < ENGINES; i++) {
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            servers.add(server);
            DaemonThreads.newThread("soak-accept", () -> accept(server)).start();
        }
    }

    /** The engines as members of a JSON endpoint list. */
    String members() {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            members.add("{\"id\":\"s" + i + "\",\"host_port\":\"127.0.0.1:"
                    + servers.get(i).getLocalPort() + "\",\"phase\":\"Ready\"}");
        }
        return String.join(",", members);
    }

    /** The attempts of a request, in the order in which they were taken. */
    List<Attempt> attempts(String id) {
        return attemptsById.getOrDefault(id, List.of());
    }

    private void accept(ServerSocket server) {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                DaemonThreads.newThread("soak-engine", () -> serve(socket)).start();
            }
        } catch (IOException e) {
            // The run is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            HttpReader in = new HttpReader(socket.getInputStream(), () -> 0);
            boolean open = true;
            while (open && in.awaitMessage()) {
                HttpHead head = in.readRequestHead();
                in.readBody(head);
                open = answer(socket, head.headers().get("X-Call-Id"));
            }
        } catch (IOException e) {
            // The router has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers one request; returns whether the connection can be used again. */
    private boolean answer(Socket socket, String id) throws IOException, InterruptedException {
        Attempt attempt = new Attempt();
        List<Attempt> attempts = attemptsById.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>());
        attempts.add(attempt);
        SplittableRandom random = new SplittableRandom(seed * 31 + id.hashCode() + attempts.size());
        Behaviour behaviour = Behaviour.draw(random);
        OutputStream out = socket.getOutputStream();
        switch (behaviour) {
            case REJECTED -> {
                attempt.rejected = true;
                write(out, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            case FAILED -> {
                write(out, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            case RESET_BEFORE_THE_STREAM -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case SILENT_BEFORE_THE_STREAM -> {
                Thread.sleep(SILENCE_MS);
                return false;
            }
            default -> {
                return stream(socket, id, behaviour, attempt, random);
            }
        }
    }

    private static boolean stream(
            Socket socket, String id, Behaviour behaviour, Attempt attempt, SplittableRandom random)
            throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        Thread.sleep(random.nextInt(MAX_GAP_MS));
        write(out, STREAM_HEAD);
        StringBuilder events = new StringBuilder();
        int count = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < count; i++) {
            String event = event(id + "-" + i);
            events.append(event);
            if (behaviour == Behaviour.SLOW_EVENT && i == 0) {
                writeSlowly(out, chunk(event));
            } else {
                write(out, chunk(event));
            }
            Thread.sleep(random.nextInt(MAX_GAP_MS));
        }
        switch (behaviour) {
            case LAST_CHUNK_TOO_EARLY -> write(out, LAST_CHUNK);
            case CHUNK_SIZE_READS_ZERO -> write(out, "0\r\n" + event(id) + "\r\n" + chunk(FINISH + DONE) + LAST_CHUNK);
            case RESET_IN_THE_STREAM -> socket.setSoLinger(true, 0);
            case SILENT_IN_THE_STREAM -> Thread.sleep(SILENCE_MS);
            default -> {
                attempt.wholeAnswer = events + FINISH + DONE;
                write(out, chunk(FINISH) + chunk(DONE) + LAST_CHUNK);
                return true;
            }
        }
        return behaviour == Behaviour.LAST_CHUNK_TOO_EARLY;
    }

    private static String event(String text) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    private static String chunk(String event) {
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(UTF_8));
    }

    private static void writeSlowly(OutputStream out, String text) throws IOException, InterruptedException {
        byte[] bytes = text.getBytes(UTF_8);
        for (int i = 0; i < bytes.length; i += SLOW_STEP_BYTES) {
            out.write(bytes, i, Math.min(SLOW_STEP_BYTES, bytes.length - i));
            Thread.sleep(SLOW_STEP_MS);
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
