package magpiehub;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import magpiehub.concurrent.ActorThreadPool;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.concurrent.ThreadBudget;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.config.SiteSettingsParser;
import magpiehub.discovery.platform.PlatformDiscovery;
import magpiehub.dispatch.RequestDispatcher;
import magpiehub.downstream.ClientListener;
import magpiehub.downstream.ListenerSocket;
import magpiehub.protocol.MessagesProtocol;
import magpiehub.protocol.MessagesSettings;
import magpiehub.protocol.PlatformProtocol;
import magpiehub.protocol.ProtocolAdapter;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamLimitsFixture;
import magpiehub.telemetry.SyslogEventLog;
import magpiehub.upstream.UpstreamPool;

/**
 * Replays a recorded exchange against a router on loopback sockets: a text file scripts the clients, upstreams and
 * discovery, and the clock, which advances only by a step. {@code src/test/resources/exchanges/README.md} describes the
 * steps. No step depends on real time.
 */
final class ExchangeReplayer implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long POLL_INTERVAL_NANOS = 500_000;
    /** Discovery's heartbeat interval where the script does not play discovery. */
    private static final long HEARTBEAT_MILLIS = 2_000;

    private final ManualClock clock = new ManualClock();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final SyslogEventLog log =
            new SyslogEventLog(new PrintStream(logged, true, StandardCharsets.UTF_8), "test", 1);
    private final Map<String, ExchangePeer> peers = new LinkedHashMap<>();
    private final ChatClient chatClient = new ChatClient(clock);
    /** The outcome of each answered request, in the order of the script. */
    private final List<String> results = new ArrayList<>();

    private ClientListener clients;
    private PlatformDiscovery discovery;
    private Thread dispatcherThread;
    private RequestDispatcher dispatcher;
    private CountDownLatch dispatcherHold;
    private boolean usesMessagesProtocol;
    private int maxClients = 64;
    private String streamLimits = "{}";
    private FlowController streams;
    private String siteFile = "site.json";
    private boolean clientsResume = true;
    private boolean listsArePushed;
    private String knownMembers = "";
    /** Whether the script plays discovery; otherwise the replayer does, and confirms the initial list. */
    private boolean scriptPlaysDiscovery;

    private int heartbeats;

    /** Replays a script after some preceding steps; returns the outcomes of the requests that it sent. */
    static List<String> replay(Path file, String... stepsBefore) throws Exception {
        int lineNumber = 0;
        try (ExchangeReplayer replayer = new ExchangeReplayer()) {
            for (String line : stepsBefore) {
                replayer.step(line);
            }
            List<String> lines = Files.readAllLines(file);
            replayer.scriptPlaysDiscovery = lines.stream().anyMatch(line -> line.startsWith("d+"));
            for (String line : lines) {
                lineNumber++;
                try {
                    replayer.step(line);
                } catch (Exception | AssertionError e) {
                    String place = file.getFileName() + ":" + lineNumber + ": " + line;
                    throw new AssertionError(place + "\n" + e + "\n" + replayer.log.counters() + replayer.logged, e);
                }
            }
            return replayer.results;
        }
    }

    /** Starts the router's parts, wired as {@link magpiehub.lifecycle.Router} does. */
    private void start() throws Exception {
        String settings = Files.readString(Path.of("src/test/resources/" + siteFile));
        settings = clientsResume ? settings : settings.replace("\"resume\":true", "\"resume\":false");
        settings = listsArePushed ? settings.replace("\"subscribe\"", "\"automatic\"") : settings;
        SiteSettings site = SiteSettingsParser.parse(ConfigurationObject.parse(settings.getBytes(UTF_8), "settings"));
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        ExchangePeer discoveryPeer = peer("d");
        discoveryPeer.listen();
        ActorThreadPool threadPool = new ActorThreadPool(ThreadBudget.unlimited());
        streams = new FlowController(StreamLimitsFixture.parse(streamLimits, site), site, clock, log);
        UpstreamPool engines = new UpstreamPool(site, 64, clock, log, threadPool, streams);
        engines.start();
        discovery =
                new PlatformDiscovery("127.0.0.1:" + discoveryPeer.listeningPort(), () -> site, engines, clock, log, 7);
        dispatcher = new RequestDispatcher(site.routing(), 7, clock, engines, discovery, log);
        engines.setDispatcher(dispatcher);
        ProtocolAdapter adapter = usesMessagesProtocol
                ? new MessagesProtocol(() -> site, new MessagesSettings("", "chat", "", Map.of()), null)
                : new PlatformProtocol(() -> site);
        clients = new ClientListener(
                ListenerSocket.bind(anyPort),
                adapter,
                dispatcher,
                clock,
                log,
                discovery::hasUsableList,
                log::counters,
                maxClients,
                threadPool,
                streams);
        clients.start();
        log.start();
        discovery.start(
                dispatcher, ("{\"revision\":1,\"complete\":true,\"members\":[" + knownMembers + "]}").getBytes(UTF_8));
        dispatcherThread = DaemonThreads.newThread("dispatcher", dispatcher::run);
        dispatcherThread.start();
        if (!scriptPlaysDiscovery) {
            openWatch(discoveryPeer);
        }
    }

    /** Makes the router open its watch, and confirms its initial list. */
    private void openWatch(ExchangePeer discoveryPeer) throws Exception {
        discovery.watch();
        discoveryPeer.acceptFor(discoveryPeer);
        discoveryPeer.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        sendHeartbeat(discoveryPeer);
        // The list's counter changes before its lease starts, so the log line is awaited.
        await(() -> logged.toString(StandardCharsets.UTF_8).contains(" list-confirmed "), "the list was not confirmed");
    }

    private void sendHeartbeat(ExchangePeer discoveryPeer) throws Exception {
        heartbeats++;
        discoveryPeer.sendChunk("\n");
        await(() -> hasCounter("discovery_beats " + heartbeats), "no heartbeat was read");
    }

    /** Advances the clock; unless the script plays discovery, heartbeats are sent meanwhile. */
    private void advanceClock(long millis) throws Exception {
        long left = millis;
        while (!scriptPlaysDiscovery && left > HEARTBEAT_MILLIS) {
            clock.advanceMillis(HEARTBEAT_MILLIS);
            left -= HEARTBEAT_MILLIS;
            sendHeartbeat(peer("d"));
        }
        clock.advanceMillis(left);
        if (!scriptPlaysDiscovery) {
            sendHeartbeat(peer("d"));
        }
    }

    /** Executes one line of a script. */
    void step(String line) throws Exception {
        if (line.isBlank() || line.startsWith("#")) {
            return;
        }
        String[] words = line.split(" ", 2);
        String argument = words.length > 1 ? words[1] : "";
        if (!prepare(words[0], argument) && !control(words[0], argument)) {
            peerStep(words[0], argument);
        }
    }

    /** Executes a step that configures the router before its start; false if the command is not one. */
    private boolean prepare(String command, String argument) throws IOException {
        switch (command) {
            case "front" -> usesMessagesProtocol = argument.equals("messages");
            case "streams" -> streamLimits = argument;
            case "site" -> siteFile = argument;
            case "no-resume" -> clientsResume = false;
            case "pushed" -> listsArePushed = true;
            case "most" -> maxClients = Integer.parseInt(argument);
            case "engines" -> addUpstreams(argument.split(" "));
            case "address" -> addListeningPeer(argument);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void addUpstreams(String[] names) throws IOException {
        for (String name : names) {
            addListeningPeer(name);
            knownMembers += (knownMembers.isEmpty() ? "" : ",") + member(name, "Ready");
        }
    }

    private void addListeningPeer(String name) throws IOException {
        ExchangePeer peer = new ExchangePeer();
        peer.listen();
        peers.put(name, peer);
    }

    /** Executes a step for the router or the clock; false if the command is not one. */
    private boolean control(String command, String argument) throws Exception {
        switch (command) {
            case "start" -> start();
            case "move" -> discovery.changeAddress(
                    "127.0.0.1:" + peers.get(argument).listeningPort());
            case "clock" -> advanceClock(Long.parseLong(argument));
            case "counter" -> await(() -> hasCounter(argument), "the counter never reached " + argument);
            case "passes" -> advanceClockUntilCounter(argument);
            case "hold" -> holdDispatcher();
            case "release" -> dispatcherHold.countDown();
            case "stop" -> clients.stopAccepting();
            case "closing" -> clients.closeIdleConnections();
            case "logged" -> await(
                    () -> matches(".*" + toRegex(argument) + ".*", logged.toString(StandardCharsets.UTF_8)),
                    "no log line has " + argument);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Advances the clock in steps of the given milliseconds until a counter has the given value. */
    private void advanceClockUntilCounter(String argument) throws Exception {
        String[] words = argument.split(" ", 2);
        long stepMillis = Long.parseLong(words[0]);
        String counter = words[1];
        await(
                () -> {
                    boolean reached = hasCounter(counter);
                    clock.advanceMillis(reached ? 0 : stepMillis);
                    return reached;
                },
                "the counter never reached " + counter);
    }

    /** Blocks the dispatcher's thread, so that messages stay in its mailbox until it is released. */
    private void holdDispatcher() {
        CountDownLatch hold = new CountDownLatch(1);
        dispatcherHold = hold;
        dispatcher.execute(() -> {
            try {
                hold.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private String member(String name, String phase) {
        return "{\"id\":\"" + name + "\",\"host_port\":\"127.0.0.1:"
                + peers.get(name).listeningPort()
                + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    /** Executes a step of one party: its name, the symbol of an action, and an argument. */
    private void peerStep(String nameAndAction, String argument) throws Exception {
        int nameLength = 0;
        while (nameLength < nameAndAction.length() && Character.isLetterOrDigit(nameAndAction.charAt(nameLength))) {
            nameLength++;
        }
        String name = nameAndAction.substring(0, nameLength);
        String action = nameAndAction.substring(nameLength);
        ExchangePeer peer = peer(name);
        if (!action.startsWith(">")) {
            peer.flush();
        }
        if (!peer.isConnected() && !peer.isListening()) {
            peer.connect(clients.port());
        }
        boolean recognized = changeConnection(peer, action, argument)
                || send(peer, action, argument)
                || receive(peer, action, argument)
                || exchangeRequest(name, peer, action, argument);
        if (!recognized) {
            throw new IllegalArgumentException("no such step");
        }
    }

    private ExchangePeer peer(String name) {
        return peers.computeIfAbsent(name, key -> new ExchangePeer());
    }

    private boolean changeConnection(ExchangePeer peer, String action, String argument) throws IOException {
        switch (action) {
            case "+" -> peer.acceptFor(argument.isEmpty() ? peer : peer(argument));
            case "++" -> peer.connect(clients.port());
            case "-" -> peer.stopListening();
            case "!" -> peer.socket().close();
            case "!-" -> peer.socket().shutdownOutput();
            case "!!" -> reset(peer.socket());
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private boolean send(ExchangePeer peer, String action, String argument) throws IOException {
        switch (action) {
            case ">" -> sendLine(peer, argument);
            case ">>" -> peer.sendBody(unescape(argument));
            case ">*" -> peer.sendBody("x".repeat(Integer.parseInt(argument)));
            case ">&" -> ChatClient.sendEventsInBackground(peer.socket(), Integer.parseInt(argument));
            case ">~" -> peer.sendChunk(unescape(argument));
            case ">." -> {
                peer.append("0\r\n\r\n");
                peer.flush();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Sends a head with its empty last line, unless the length of its body is still unknown. */
    private static void sendLine(ExchangePeer peer, String line) throws IOException {
        peer.append(line + "\r\n");
        if (line.isEmpty() && !peer.awaitsBody()) {
            peer.flush();
        }
    }

    private boolean receive(ExchangePeer peer, String action, String argument) throws IOException {
        switch (action) {
            case "<" -> assertMatches(argument, peer.readLine());
            case "<<" -> {
                int length = argument.startsWith("@") ? 0 : unescape(argument).length();
                assertMatches(argument, escape(peer.readText(length)));
            }
            case "<~" -> assertMatches(argument, escape(peer.readChunk()));
            case "<." -> assertEquals("0|", peer.readLine() + "|" + peer.readLine(), "0 and an empty line");
            case "<x" -> assertEquals(Integer.parseInt(argument), peer.readAllChunks());
            case "<fin" -> assertEquals(-1, peer.read(), "the connection should have ended in order");
            case "<eof" -> assertTrue(peer.hasEnded(), "the connection should have ended");
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Sends or receives a whole chat request, or checks when its answer began or what its outcome is. */
    private boolean exchangeRequest(String name, ExchangePeer peer, String action, String argument) throws Exception {
        switch (action) {
            case "?" -> {
                if (peer.isListening()) {
                    assertMatches("{*\"stream\":true*}", peer.readText(peer.readContentLength()));
                } else {
                    chatClient.send(name, peer, argument, usesMessagesProtocol);
                }
            }
            case ":" -> assertEquals(argument, peer.awaitBegun(), "begun");
            case "=" -> {
                String outcome = peer.awaitOutcome();
                results.add(name + " " + outcome);
                assertMatches(argument, outcome);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void assertMatches(String pattern, String actual) {
        assertTrue(matches(toRegex(pattern), actual), "got: " + actual);
    }

    /** The regular expression for a pattern in which {@code *} matches any text. */
    private static String toRegex(String pattern) {
        return Pattern.quote(pattern).replace("*", "\\E.*\\Q");
    }

    private static boolean matches(String regex, String text) {
        return Pattern.compile(regex, Pattern.DOTALL).matcher(text).matches();
    }

    /** Replaces escaped line ends, and {@code @NAME@} by the address of that party. */
    private String unescape(String text) {
        String result = text.replace("\\n", "\n").replace("\\r", "\r");
        for (Map.Entry<String, ExchangePeer> entry : peers.entrySet()) {
            ExchangePeer peer = entry.getValue();
            if (peer.isListening()) {
                result = result.replace("@" + entry.getKey() + "@", "127.0.0.1:" + peer.listeningPort());
            }
        }
        return result;
    }

    private static String escape(String text) {
        return text.replace("\r", "\\r").replace("\n", "\\n");
    }

    private boolean hasCounter(String nameAndValue) {
        return ("\n" + log.counters() + streams.metrics()).contains("\n" + nameAndValue + "\n");
    }

    /** Waits for a condition that the router brings about by itself; the time limit only makes a test fail. */
    private static void await(BooleanSupplier condition, String failure) throws Exception {
        long end = System.nanoTime() + ExchangePeer.STEP_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, failure);
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    @Override
    public void close() throws Exception {
        for (ExchangePeer peer : peers.values()) {
            peer.close();
        }
        if (clients != null) {
            clients.stopAccepting();
            dispatcherThread.interrupt();
        }
    }
}
