import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Locale;

/**
 * A small stand-in for a Consul agent, after the public description of its HTTP API: a fixed list under a prefix of the
 * key-value store, blocking queries, and the registration of a service with a check. Arguments: the port, and a file
 * with one engine's entry a line.
 */
final class Consul {
    private static final int INDEX = 7;

    private final String list;

    private Consul(Path entries) throws IOException {
        StringBuilder json = new StringBuilder("[");
        int number = 0;
        for (String entry : Files.readAllLines(entries)) {
            json.append(number == 0 ? "" : ",")
                    .append("{\"LockIndex\":0,\"Key\":\"engines/e")
                    .append(number)
                    .append("\",\"Flags\":0,\"Value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.getBytes(StandardCharsets.UTF_8)))
                    .append("\",\"CreateIndex\":5,\"ModifyIndex\":5}");
            number++;
        }
        list = json.append("]").toString();
    }

    public static void main(String[] arguments) throws IOException {
        Consul consul = new Consul(Path.of(arguments[1]));
        try (ServerSocket server = new ServerSocket(Integer.parseInt(arguments[0]), 64, Rig.LOOPBACK)) {
            while (true) {
                Socket socket = server.accept();
                Rig.daemon(() -> consul.serve(socket));
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String start = Rig.readLine(in); start != null; start = Rig.readLine(in)) {
                int length = 0;
                for (String line = Rig.readLine(in); line != null && !line.isEmpty(); line = Rig.readLine(in)) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(15).strip());
                    }
                }
                in.readNBytes(length);
                String target = start.split(" ")[1];
                String body = "";
                if (target.startsWith("/v1/kv/")) {
                    if (target.contains("index=" + INDEX)) {
                        // Nothing changes: the query blocks for the time that it names.
                        int at = target.indexOf("wait=") + 5;
                        Rig.sleep(Integer.parseInt(target.substring(at, target.indexOf("ms", at))));
                    }
                    body = target.contains("keys") ? "[\"engines/\"]" : list;
                }
                answer(socket.getOutputStream(), body);
            }
        } catch (IOException | RuntimeException e) {
            // The caller has gone.
        }
    }

    private static void answer(OutputStream out, String body) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: " + INDEX
                        + "\r\nX-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8));
    }
}
