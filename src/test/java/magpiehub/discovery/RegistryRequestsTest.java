package magpiehub.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the exact bytes of the requests that the registry client sends. */
class RegistryRequestsTest {
    private static final String POST_HEADERS =
            "Host: HOST\r\nContent-Type: application/json\r\nContent-Length: LENGTH\r\n\r\n";
    private static final String POST_HEADERS_WITH_TOKEN =
            "Host: HOST\r\nAuthorization: t.1\r\nContent-Type: application/json\r\nContent-Length: LENGTH\r\n\r\n";
    private static final String GET_HEADERS_WITH_TOKEN = "Host: HOST\r\nX-Consul-Token: s3cret\r\n\r\n";
    private static final String RANGE = "\"key\":\"" + base64("a/b/") + "\",\"range_end\":\"" + base64("a/b0") + "\"";

    private RecordingServer server;

    @BeforeEach
    void start() throws IOException {
        server = new RecordingServer();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(UTF_8));
    }

    private static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\n" + headers.replace("LENGTH", Integer.toString(body.length())) + body;
    }

    private static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\n" + GET_HEADERS_WITH_TOKEN;
    }

    private interface Call {
        void run(RegistryConnection connection) throws IOException, InterruptedException;
    }

    /** Executes calls on one connection; the end of the stream ends a call without an error. */
    private void call(Call... calls) throws Exception {
        try (RegistryConnection connection =
                new RegistryConnection(server.address(), null, MonotonicClock.SYSTEM, new AtomicLong())) {
            connection.connect(5_000);
            connection.setReadTimeout(5_000);
            for (Call call : calls) {
                try {
                    call.run(connection);
                } catch (EOFException e) {
                    // The watch has ended.
                }
            }
        }
    }

    @Test
    void etcdListInTwoPagesAfterAuthentication() throws Exception {
        EtcdProtocol etcd = new EtcdProtocol(
                "a/b/", 1, "router", "s3\"cret", EndpointEntryParser.strict(RegistryFixtures.site(), 0));
        String header = "{\"header\":{\"cluster_id\":\"7\",\"revision\":\"9\",\"raft_term\":\"2\"},";
        server.respond("{\"token\":\"t.1\"}");
        server.respond(header + "\"kvs\":[{\"key\":\"" + base64("a/b/x") + "\"}],\"more\":true,\"count\":\"2\"}");
        server.respond(header + "\"kvs\":[{\"key\":\"" + base64("a/b/y") + "\"}],\"count\":\"2\"}");
        call(connection -> etcd.readList(connection, new IgnoringListener()));
        assertEquals(
                List.of(
                        post(
                                "/v3/auth/authenticate",
                                POST_HEADERS,
                                "{\"name\":\"router\",\"password\":\"s3\\\"cret\"}"),
                        post("/v3/kv/range", POST_HEADERS_WITH_TOKEN, "{" + RANGE + ",\"limit\":1}"),
                        post(
                                "/v3/kv/range",
                                POST_HEADERS_WITH_TOKEN,
                                "{\"key\":\"" + base64("a/b/x\0") + "\",\"range_end\":\"" + base64("a/b0")
                                        + "\",\"limit\":1,\"revision\":\"9\"}")),
                server.requests);
    }

    @Test
    void etcdCheckAndWatch() throws Exception {
        EtcdProtocol etcd =
                new EtcdProtocol("a/b/", 1000, null, null, EndpointEntryParser.strict(RegistryFixtures.site(), 0));
        String response = "{\"header\":{\"cluster_id\":\"7\",\"revision\":\"9\",\"raft_term\":\"2\"}}";
        String created = "{\"result\":{\"created\":true}}\n";
        for (String body : List.of(response, response, created, response, created)) {
            server.respond(body);
        }
        call(
                connection -> etcd.checkPosition(connection, new IgnoringListener()),
                connection -> etcd.watch(connection, new ListPosition("7", 2, 0), new IgnoringListener()));
        call(connection -> etcd.watch(connection, new ListPosition("7", 2, 9), new IgnoringListener()));
        String newestFirst = ",\"sort_order\":\"DESCEND\",\"sort_target\":\"MOD\"";
        String check =
                post("/v3/kv/range", POST_HEADERS, "{" + RANGE + ",\"limit\":1" + newestFirst + ",\"keys_only\":true}");
        assertEquals(
                List.of(
                        check,
                        check,
                        post("/v3/watch", POST_HEADERS, watch(1)),
                        post(
                                "/v3/kv/range",
                                POST_HEADERS,
                                "{" + RANGE + ",\"limit\":16" + newestFirst + ",\"revision\":\"9\"}"),
                        post("/v3/watch", POST_HEADERS, watch(10))),
                server.requests);
    }

    private static String watch(long startRevision) {
        return "{\"create_request\":{" + RANGE + ",\"start_revision\":\"" + startRevision
                + "\",\"progress_notify\":true,\"fragment\":true}}";
    }

    @Test
    void consulHealth() throws Exception {
        ConsulProtocol consul = ConsulProtocol.forHealth(
                "a b/ü", 30_000_000, "s3cret", EndpointEntryParser.strict(RegistryFixtures.site(), 0));
        assertEquals(
                List.of(
                        get("/v1/health/service/a%20b%2F%C3%BC"),
                        get("/v1/health/service/a%20b%2F%C3%BC"),
                        get("/v1/health/service/a%20b%2F%C3%BC?index=7&wait=30000ms"),
                        get("/v1/health/service/a%20b%2F%C3%BC?filter=Service.ID%20%3D%3D%20%22%22")),
                consulRequests(consul));
    }

    @Test
    void consulKeyValues() throws Exception {
        ConsulProtocol consul = ConsulProtocol.forKeyValues(
                "a b/c/", 30_000_000, "s3cret", EndpointEntryParser.strict(RegistryFixtures.site(), 0));
        assertEquals(
                List.of(
                        get("/v1/kv/a%20b/c/?recurse"),
                        get("/v1/kv/a%20b/c/?recurse"),
                        get("/v1/kv/a%20b/c/?recurse&index=7&wait=30000ms"),
                        get("/v1/kv/a%20b/c/?keys&separator=%2F")),
                consulRequests(consul));
    }

    private List<String> consulRequests(ConsulProtocol consul) throws Exception {
        for (int i = 0; i < 4; i++) {
            server.respond("[]");
        }
        call(
                connection -> consul.readList(connection, new IgnoringListener()),
                connection -> consul.watch(connection, new ListPosition("", 0, 0), new IgnoringListener()),
                connection -> consul.watch(connection, new ListPosition("", 0, 7), new IgnoringListener()),
                connection -> consul.checkPosition(connection, new IgnoringListener()));
        return server.requests;
    }

    @Test
    void etcdRegistration() throws Exception {
        server.respond("{\"ID\":\"77\",\"TTL\":\"1\"}");
        server.respond("{}");
        server.respond("{\"result\":{\"ID\":\"77\",\"TTL\":\"10\"}}\n");
        server.respond("{}");
        register("etcd");
        String value = base64("{\"id\":\"n 1\",\"host_port\":\"127.0.0.1:9\"}");
        assertEquals(
                List.of(
                        post("/v3/lease/grant", POST_HEADERS, "{\"TTL\":\"2\"}"),
                        post(
                                "/v3/kv/put",
                                POST_HEADERS,
                                "{\"key\":\"" + base64("routers/n 1") + "\",\"value\":\"" + value
                                        + "\",\"lease\":\"77\"}"),
                        post("/v3/lease/keepalive", POST_HEADERS, "{\"ID\":\"77\"}"),
                        post("/v3/lease/revoke", POST_HEADERS, "{\"ID\":\"77\"}")),
                server.requests);
    }

    @Test
    void consulRegistration() throws Exception {
        server.respond("");
        server.respond("");
        server.respond("");
        register("consul-kv");
        assertEquals(
                List.of(
                        put(
                                "/v1/agent/service/register",
                                "{\"ID\":\"n 1\",\"Name\":\"routers\",\"Address\":\"127.0.0.1\",\"Port\":9,"
                                        + "\"Check\":{\"CheckID\":\"service:n 1\",\"TTL\":\"1001ms\","
                                        + "\"Status\":\"passing\",\"DeregisterCriticalServiceAfter\":\"1m\"}}"),
                        put("/v1/agent/check/pass/service:n%201", ""),
                        put("/v1/agent/service/deregister/n%201", "")),
                server.requests);
    }

    private static String put(String path, String body) {
        return post(path, POST_HEADERS, body).replaceFirst("POST", "PUT");
    }

    /** Registers, waits for the renewal, and deregisters. */
    private void register(String kind) throws Exception {
        int requestsOfRegistration = kind.equals("etcd") ? 2 : 1;
        String announce = ",\"announce\":{\"prefix\":\"routers/\",\"service\":\"routers\",\"ttl_ms\":1001}";
        try (FakeRegistry other = new FakeRegistry(1);
                RecordingRegistryClient recorder =
                        new RecordingRegistryClient(RegistryFixtures.settings(kind, other.addresses(), ""))) {
            RouterRegistration registration = new RouterRegistration(
                    RegistryFixtures.settings(kind, List.of(server.address()), announce),
                    "n 1",
                    "127.0.0.1:9",
                    MonotonicClock.SYSTEM,
                    recorder.log,
                    1);
            registration.start();
            RegistryFixtures.await(
                    () -> server.requests.size() > requestsOfRegistration, () -> server.requests.toString());
            registration.stop(20_000);
        }
    }

    /** Ignores all events, for tests that check only the requests. */
    private static final class IgnoringListener implements RegistryEventListener {
        @Override
        public void onWatchOpened(ListPosition header) {}

        @Override
        public void onCompleteList(ListPosition position, List<ListItem> items) {}

        @Override
        public void onChanges(ListPosition position, List<ListItem> items) {}

        @Override
        public void onWatchResumed(ListPosition header, List<ListItem> lastChanged, long count) {}

        @Override
        public void onCompacted(String reason) {}

        @Override
        public void onPositionChecked(ListPosition header, long newestRevision, long count) {}
    }

    /** Records requests and responds with the given bodies in order. */
    private static final class RecordingServer {
        private final ServerSocket socket = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        private final List<String> responses = new CopyOnWriteArrayList<>();
        final List<String> requests = new CopyOnWriteArrayList<>();

        RecordingServer() throws IOException {
            DaemonThreads.newThread("recording-server", this::run).start();
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        void respond(String body) {
            responses.add(body);
        }

        void close() throws IOException {
            socket.close();
        }

        private void run() {
            while (!socket.isClosed()) {
                try (Socket client = socket.accept()) {
                    serve(client);
                } catch (IOException e) {
                    // The client closed its connection, or the test has ended.
                }
            }
        }

        private void serve(Socket client) throws IOException {
            InputStream in = client.getInputStream();
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return;
                    }
                    head.append((char) next);
                }
                requests.add(head.toString().replace(address(), "HOST") + new String(readBody(in, head), UTF_8));
                String body = responses.get(requests.size() - 1);
                client.getOutputStream().write(response(body));
            }
        }

        private static byte[] readBody(InputStream in, CharSequence head) throws IOException {
            String length = head.toString().replaceFirst("(?s).*Content-Length: (\\d+).*|.*", "$1");
            return in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        }

        private static byte[] response(String body) {
            return ("HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(UTF_8);
        }
    }
}
