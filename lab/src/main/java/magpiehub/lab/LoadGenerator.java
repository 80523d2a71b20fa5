package magpiehub.lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import org.HdrHistogram.Histogram;

/**
 * Open-loop load generator for all sites, with one client-side load balancer per site. Requests are sent when they are
 * due, regardless of earlier responses, and latencies count from the due time. A balancer sends to the routers of its
 * own site that pass their health checks, and to other sites only while there are none. Responses are validated
 * against what the engines' streams contain, not against what a router reports.
 */
final class LoadGenerator {
    /** How a request ended for its client; reports show these names. */
    enum RequestOutcome {
        /** The complete stream of one engine, with the first token within the latency target. */
        SERVED,
        /** The complete stream of one engine, with the first token after the latency target. */
        LATE,
        /** Status 429 or 503. */
        REFUSED,
        /** Any other status than 200, 429 and 503. */
        FAILED,
        /** The stream was cut off. */
        BROKEN,
        /** No response within the time limit. */
        SILENT,
        /** The connection ended without a response. */
        NONE,
        /** No router was available or reachable. */
        NOWHERE,
        /** The stream ended normally but is not the complete stream of one engine. */
        SPOILT
    }

    /**
     * One request. Times are in microseconds of the monotonic clock.
     *
     * @param router the last router that it was sent to, -1 if none
     * @param firstTokenMicros time from {@code dueMicros} to the first token, -1 if there was none
     * @param retries number of retries
     * @param excused whether an injected fault explains the result
     * @param sessionHash the conversation's session hash
     */
    record RequestRecord(
            String requestId,
            int site,
            int router,
            int classIndex,
            long dueMicros,
            long sentMicros,
            long firstTokenMicros,
            long endMicros,
            RequestOutcome outcome,
            int retries,
            double gain,
            boolean excused,
            String sessionHash) {
        /** Whether a healthy router returned no response or an invalid one. */
        boolean isUnanswered() {
            return !excused
                    && (outcome == RequestOutcome.NONE
                            || outcome == RequestOutcome.SILENT
                            || outcome == RequestOutcome.SPOILT);
        }
    }

    /** A router as seen by a load balancer. */
    record RouterTarget(int router, int site, String name) {}

    /** The actual state of the routers, as known from fault injection. */
    interface RouterHealth {
        /** Whether a router's process and the path to it have been free of faults since a time (us). */
        boolean isHealthySince(int fromSite, int router, long since);

        /** Called when a healthy router has left a request without a response. */
        void onUnanswered(int router, String requestId);
    }

    private static final long HEALTH_CHECK_INTERVAL_MICROS = 200_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Maximum number of open conversations per site. */
    private static final int MAX_CONVERSATIONS = 40;

    /** Warm-up time before the first request that is counted (us). */
    static final long WARM_UP_MICROS = 2_000_000;

    private static final class Connection {
        final Socket socket;
        final HttpReader reader;
        boolean hasBeenUsed;

        Connection(InetSocketAddress address) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            InputStream input = socket.getInputStream();
            reader = new HttpReader(input, EngineSiteProcess::nowMicros);
        }
    }

    /** The load balancer of one site: the routers that it considers up, and idle connections to them. */
    private final class SiteBalancer {
        final int site;
        final boolean[] isUp;
        final long[] failingSince;
        final Map<Integer, ArrayDeque<Connection>> idleConnections = new HashMap<>();
        int nextIndex;

        SiteBalancer(int site) {
            this.site = site;
            this.isUp = new boolean[targets.size()];
            this.failingSince = new long[targets.size()];
        }

        synchronized int pickRouter(int excludedRouter) {
            List<Integer> ownSiteRouters = new ArrayList<>();
            List<Integer> otherSiteRouters = new ArrayList<>();
            for (int i = 0; i < isUp.length; i++) {
                if (isUp[i] && i != excludedRouter) {
                    (targets.get(i).site == site ? ownSiteRouters : otherSiteRouters).add(i);
                }
            }
            List<Integer> candidates = ownSiteRouters.isEmpty() ? otherSiteRouters : ownSiteRouters;
            return candidates.isEmpty() ? -1 : candidates.get(nextIndex++ % candidates.size());
        }

        synchronized Connection takeIdle(int router) {
            ArrayDeque<Connection> connections = idleConnections.get(router);
            return connections == null ? null : connections.pollLast();
        }

        synchronized void release(int router, Connection connection) {
            idleConnections.computeIfAbsent(router, k -> new ArrayDeque<>()).addLast(connection);
        }

        /** Runs health checks of one router; it counts as down once checks have failed for {@code noticeMs}. */
        void runHealthChecks(int router) {
            while (!finished) {
                boolean healthy = false;
                try (Socket socket = new Socket()) {
                    socket.connect(addresses.of(site, router), CONNECT_TIMEOUT_MILLIS);
                    socket.setSoTimeout(CONNECT_TIMEOUT_MILLIS);
                    socket.getOutputStream()
                            .write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    HttpReader reader = new HttpReader(socket.getInputStream(), EngineSiteProcess::nowMicros);
                    healthy = reader.awaitMessage() && reader.readResponseHead().status() == 200;
                } catch (IOException e) {
                    healthy = false;
                }
                long now = EngineSiteProcess.nowMicros();
                synchronized (this) {
                    if (healthy) {
                        isUp[router] = true;
                        failingSince[router] = Long.MAX_VALUE;
                    } else if (failingSince[router] == Long.MAX_VALUE) {
                        failingSince[router] = now;
                    } else if (now - failingSince[router] >= scenario.noticeMs * 1000) {
                        isUp[router] = false;
                    }
                    LoadGenerator.this.notifyHealthChange();
                }
                EngineSiteProcess.sleep(HEALTH_CHECK_INTERVAL_MICROS);
            }
        }
    }

    /** Resolves the address at which a site's load balancer reaches a router. */
    interface AddressResolver {
        InetSocketAddress of(int fromSite, int router);
    }

    private final Scenario scenario;
    private final List<RouterTarget> targets;
    private final AddressResolver addresses;
    private final RouterHealth routerHealth;
    private final List<SiteBalancer> balancers = new ArrayList<>();
    private final List<RequestRecord> results = new ArrayList<>();
    private final ExecutorService requestExecutor =
            Executors.newCachedThreadPool(r -> DaemonThreads.newThread("client", r));
    private int pendingRequests;
    private volatile long countFromMicros;
    private volatile boolean finished;

    LoadGenerator(Scenario scenario, List<RouterTarget> targets, AddressResolver addresses, RouterHealth routerHealth) {
        this.scenario = scenario;
        this.targets = targets;
        this.addresses = addresses;
        this.routerHealth = routerHealth;
    }

    private void notifyHealthChange() {
        synchronized (balancers) {
            balancers.notifyAll();
        }
    }

    /** Starts the load balancers and waits until each sees all routers up; returns false on time-out. */
    boolean awaitRouters(long timeoutMicros) {
        for (int i = 0; i < scenario.sites.size(); i++) {
            SiteBalancer balancer = new SiteBalancer(i);
            java.util.Arrays.fill(balancer.failingSince, 0);
            balancers.add(balancer);
        }
        for (SiteBalancer balancer : balancers) {
            for (RouterTarget target : targets) {
                DaemonThreads.newThread("front", () -> balancer.runHealthChecks(target.router))
                        .start();
            }
        }
        long deadline = EngineSiteProcess.nowMicros() + timeoutMicros;
        synchronized (balancers) {
            while (EngineSiteProcess.nowMicros() < deadline) {
                if (balancers.stream().allMatch(this::seesAllRouters)) {
                    return true;
                }
                EngineSiteProcess.await(balancers, 100_000);
            }
        }
        return false;
    }

    private boolean seesAllRouters(SiteBalancer balancer) {
        return targets.stream().allMatch(target -> balancer.isUp[target.router]);
    }

    /** A conversation of several turns, whose prompt grows with each turn. */
    private static final class Conversation {
        final String sessionHash;
        final String prefix;
        final int classIndex;
        int promptTokens;

        Conversation(String sessionHash, String prefix, int classIndex, int promptTokens) {
            this.sessionHash = sessionHash;
            this.prefix = prefix;
            this.classIndex = classIndex;
            this.promptTokens = promptTokens;
        }
    }

    /** Sends requests from a time on until the run ends; one thread per site generates arrivals. */
    List<Thread> startArrivals(long from) {
        countFromMicros = from;
        List<Thread> threads = new ArrayList<>();
        for (SiteBalancer balancer : balancers) {
            SplittableRandom random = new SplittableRandom(scenario.seed * 31 + balancer.site);
            Thread thread = DaemonThreads.newThread("arrivals", () -> generateArrivals(balancer, from, random));
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    private void generateArrivals(SiteBalancer balancer, long from, SplittableRandom random) {
        double requestsPerSecond = scenario.sites.get(balancer.site).rate();
        List<Conversation> conversations = new ArrayList<>();
        Scenario.Requests requestMix = scenario.requests;
        // The same load is sent uncounted during warm-up, while the laboratory's code and all connections are new.
        double nextArrivalMicros = from - WARM_UP_MICROS;
        long endMicros = from + scenario.lengthMs * 1000;
        while (requestsPerSecond > 0) {
            nextArrivalMicros += -Math.log(1 - random.nextDouble()) * 1e6 / requestsPerSecond;
            if (nextArrivalMicros >= endMicros) {
                return;
            }
            Conversation drawn;
            if (!conversations.isEmpty() && random.nextDouble() < 1 - 1 / Math.max(1, requestMix.turns())) {
                drawn = conversations.get(random.nextInt(conversations.size()));
            } else {
                int classIndex = drawClass(requestMix, random.nextDouble());
                Scenario.RequestClass requestClass = requestMix.classes().get(classIndex);
                drawn = new Conversation(
                        hex(random.nextLong()),
                        requestMix.prefixes() > 0 ? hex(drawPrefix(requestMix, random.nextDouble())) : null,
                        classIndex,
                        requestClass.prompt()[0]
                                + random.nextInt(
                                        requestClass.prompt()[1] - requestClass.prompt()[0] + 1));
                conversations.add(drawn);
                if (conversations.size() > MAX_CONVERSATIONS) {
                    conversations.remove(random.nextInt(conversations.size()));
                }
            }
            Scenario.RequestClass requestClass = requestMix.classes().get(drawn.classIndex);
            int maxTokens = requestClass.output()[0]
                    + random.nextInt(requestClass.output()[1] - requestClass.output()[0] + 1);
            String requestId = hex(random.nextLong());
            int promptTokens = drawn.promptTokens;
            drawn.promptTokens = Math.min(4 * requestClass.prompt()[1], drawn.promptTokens + maxTokens + 20);
            String tenant = drawTenant(requestMix, random.nextDouble());
            long dueMicros = (long) nextArrivalMicros;
            long waitMicros = dueMicros - EngineSiteProcess.nowMicros();
            if (waitMicros > 0) {
                EngineSiteProcess.sleep(waitMicros);
            }
            Conversation conversation = drawn;
            synchronized (results) {
                pendingRequests++;
            }
            requestExecutor.execute(
                    () -> sendRequest(balancer, requestId, conversation, promptTokens, maxTokens, tenant, dueMicros));
        }
    }

    private static int drawClass(Scenario.Requests requestMix, double uniform) {
        double totalWeight = requestMix.classes().stream()
                .mapToDouble(Scenario.RequestClass::part)
                .sum();
        for (int index = 0; index < requestMix.classes().size(); index++) {
            uniform -= requestMix.classes().get(index).part() / totalWeight;
            if (uniform < 0) {
                return index;
            }
        }
        return requestMix.classes().size() - 1;
    }

    private static String drawTenant(Scenario.Requests requestMix, double uniform) {
        double totalWeight = requestMix.tenants().stream()
                .mapToDouble(Scenario.Tenant::share)
                .sum();
        for (Scenario.Tenant tenant : requestMix.tenants()) {
            uniform -= tenant.share() / totalWeight;
            if (uniform < 0) {
                return tenant.name();
            }
        }
        return requestMix.tenants().isEmpty()
                ? "nobody"
                : requestMix.tenants().get(0).name();
    }

    private static int drawPrefix(Scenario.Requests requestMix, double uniform) {
        double totalWeight = 0;
        for (int index = 1; index <= requestMix.prefixes(); index++) {
            totalWeight += Math.pow(index, -requestMix.zipf());
        }
        for (int index = 1; index <= requestMix.prefixes(); index++) {
            uniform -= Math.pow(index, -requestMix.zipf()) / totalWeight;
            if (uniform < 0) {
                return index;
            }
        }
        return requestMix.prefixes();
    }

    private static String hex(long value) {
        return String.format(Locale.ROOT, "%016x", value);
    }

    // ---- One request ----------------------------------------------------------------------------------
    private void sendRequest(
            SiteBalancer balancer,
            String firstId,
            Conversation conversation,
            int promptTokens,
            int maxTokens,
            String tenant,
            long dueMicros) {
        Scenario.RequestClass requestClass = scenario.requests.classes().get(conversation.classIndex);
        long deadlineMicros = dueMicros + requestClass.deadlineMs() * 1000;
        if (dueMicros >= countFromMicros) {
            synchronized (sendDelays) {
                sendDelays.recordValue(Math.max(0, Math.min(60_000_000L, EngineSiteProcess.nowMicros() - dueMicros)));
            }
        }
        int excludedRouter = -1;
        RequestRecord record = null;
        String requestId = firstId;
        for (int retries = 0; ; ) {
            int router = balancer.pickRouter(excludedRouter);
            long sentMicros = EngineSiteProcess.nowMicros();
            if (router < 0) {
                record = new RequestRecord(
                        requestId,
                        balancer.site,
                        -1,
                        conversation.classIndex,
                        dueMicros,
                        sentMicros,
                        -1,
                        sentMicros,
                        RequestOutcome.NOWHERE,
                        retries,
                        requestClass.gain(),
                        true,
                        conversation.sessionHash);
                break;
            }
            // Time to the first token, -1 if there was none, and the delay before a retry (us).
            long[] timings = {-1, 0};
            RequestOutcome outcome;
            try {
                outcome = exchange(
                        balancer,
                        router,
                        requestId,
                        conversation,
                        promptTokens,
                        maxTokens,
                        tenant,
                        deadlineMicros,
                        requestClass,
                        retries > 0,
                        dueMicros,
                        timings);
            } catch (IOException e) {
                outcome = RequestOutcome.NOWHERE; // No connection could be opened, and no open one was left.
            }
            long now = EngineSiteProcess.nowMicros();
            boolean healthy = routerHealth.isHealthySince(balancer.site, router, sentMicros);
            if (healthy && (outcome == RequestOutcome.SILENT || outcome == RequestOutcome.NONE)) {
                routerHealth.onUnanswered(router, requestId);
            }
            record = new RequestRecord(
                    requestId,
                    balancer.site,
                    router,
                    conversation.classIndex,
                    dueMicros,
                    sentMicros,
                    timings[0],
                    now,
                    outcome,
                    retries,
                    requestClass.gain(),
                    !healthy,
                    conversation.sessionHash);
            if (outcome == RequestOutcome.NOWHERE && now < deadlineMicros && excludedRouter < 0) {
                excludedRouter = router; // The load balancer tries one other router.
                continue;
            }
            if (outcome == RequestOutcome.REFUSED
                    && retries < scenario.requests.retries()
                    && now + timings[1] < deadlineMicros) {
                retries++;
                EngineSiteProcess.sleep(Math.max(20_000, timings[1]));
                requestId = firstId.substring(0, 14) + String.format(Locale.ROOT, "%02x", retries);
                continue;
            }
            break;
        }
        synchronized (results) {
            if (dueMicros >= countFromMicros) {
                results.add(record);
            }
            pendingRequests--;
            results.notifyAll();
        }
    }

    private RequestOutcome exchange(
            SiteBalancer balancer,
            int router,
            String requestId,
            Conversation conversation,
            int promptTokens,
            int maxTokens,
            String tenant,
            long deadlineMicros,
            Scenario.RequestClass requestClass,
            boolean isRetry,
            long dueMicros,
            long[] timings)
            throws IOException {
        byte[] request = encodeRequest(
                requestId,
                conversation,
                promptTokens,
                maxTokens,
                tenant,
                (deadlineMicros - EngineSiteProcess.nowMicros()) / 1000,
                requestClass,
                isRetry);
        Connection connection = balancer.takeIdle(router);
        while (true) {
            if (connection == null) {
                connection = new Connection(addresses.of(balancer.site, router));
            }
            boolean wasReused = connection.hasBeenUsed;
            connection.hasBeenUsed = true;
            boolean hasResponse = false;
            try {
                connection.socket.getOutputStream().write(request);
                // Past the deadline, leaves time for the router's final answer and for delays of this machine.
                connection.socket.setSoTimeout(
                        (int) Math.max(1_000, (deadlineMicros - EngineSiteProcess.nowMicros()) / 1000 + 2_000));
                hasResponse = connection.reader.awaitMessage();
            } catch (SocketTimeoutException e) {
                connection.socket.close();
                return RequestOutcome.SILENT;
            } catch (IOException e) {
                hasResponse = false;
            }
            if (!hasResponse) {
                connection.socket.close();
                if (wasReused) {
                    // The router closed the idle connection before it read the request: retry on a new one.
                    connection = null;
                    continue;
                }
                return RequestOutcome.NONE;
            }
            return readResponse(balancer, router, connection, requestId, maxTokens, requestClass, dueMicros, timings);
        }
    }

    private RequestOutcome readResponse(
            SiteBalancer balancer,
            int router,
            Connection connection,
            String requestId,
            int maxTokens,
            Scenario.RequestClass requestClass,
            long dueMicros,
            long[] timings)
            throws IOException {
        try {
            HttpHead head = connection.reader.readResponseHead();
            if (head.status() != 200) {
                connection.reader.readBody(head);
                String retryAfter = head.headers().get("Retry-After");
                timings[1] = retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * 1e6);
                finishExchange(balancer, router, connection, head);
                return head.status() == 503 || head.status() == 429 ? RequestOutcome.REFUSED : RequestOutcome.FAILED;
            }
            int[] nextToken = {0};
            boolean[] ended = {false};
            boolean[] malformed = {false};
            connection.reader.readEvents(head, event -> {
                if (timings[0] < 0) {
                    timings[0] = EngineSiteProcess.nowMicros() - dueMicros;
                }
                String text = new String(event, StandardCharsets.UTF_8);
                int contentStart = text.indexOf("\"content\":\"");
                if (contentStart >= 0) {
                    String[] words = text.substring(contentStart + 11, text.indexOf(';', contentStart))
                            .split(" ");
                    malformed[0] |= !words[0].equals(requestId) || Integer.parseInt(words[1]) != nextToken[0];
                    nextToken[0] = Integer.parseInt(words[2]);
                }
                ended[0] |= text.contains("[DONE]");
            });
            if (malformed[0] || (ended[0] && nextToken[0] != maxTokens) || !ended[0]) {
                connection.socket.close();
                return RequestOutcome.SPOILT; // Ended normally, but is not the complete stream of one engine.
            }
            finishExchange(balancer, router, connection, head);
            return timings[0] <= requestClass.aimMs() * 1000 ? RequestOutcome.SERVED : RequestOutcome.LATE;
        } catch (SocketTimeoutException e) {
            connection.socket.close();
            return timings[0] < 0 ? RequestOutcome.SILENT : RequestOutcome.BROKEN;
        } catch (IOException | InterruptedException e) {
            connection.socket.close();
            return RequestOutcome.BROKEN;
        }
    }

    /** Ends an exchange; any further bytes on the connection are counted as a second response. */
    private void finishExchange(SiteBalancer balancer, int router, Connection connection, HttpHead head)
            throws IOException {
        if (!connection.reader.isBufferEmpty()
                || connection.socket.getInputStream().available() > 0) {
            synchronized (results) {
                duplicateResponses++;
            }
        }
        if (head.closesConnection()) {
            connection.socket.close();
        } else {
            balancer.release(router, connection);
        }
    }

    private int duplicateResponses;
    /** Delay between due time and sending (us): the laboratory's own error in the measurements. */
    private final Histogram sendDelays = new Histogram(60_000_000L, 3);

    /** A prompt of so many tokens: the shared prefix, then the conversation's own text; each turn extends the last. */
    private String promptText(Conversation conversation, int prompt) {
        StringBuilder text = new StringBuilder(4 * prompt + 32);
        int prefixLength = conversation.prefix == null ? 0 : 4 * scenario.requests.prefixTokens();
        for (int i = 0; text.length() < 4 * prompt; i++) {
            text.append(text.length() < prefixLength ? conversation.prefix : conversation.sessionHash)
                    .append(i)
                    .append(' ');
        }
        text.setLength(4 * prompt);
        return text.toString();
    }

    private byte[] encodeRequest(
            String requestId,
            Conversation conversation,
            int promptTokens,
            int maxTokens,
            String tenant,
            long budgetMillis,
            Scenario.RequestClass requestClass,
            boolean isRetry) {
        String prompt = promptText(conversation, promptTokens);
        byte[] body = ("{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + maxTokens
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + requestId
                        + "\r\nX-Call-Class: " + requestClass.name() + "\r\nX-Caller: " + tenant + "\r\nX-Route-Hash: "
                        + conversation.sessionHash
                        + "\r\nX-Budget-Ms: " + Math.max(1, budgetMillis) + "\r\nX-Call-Info: "
                        + (conversation.prefix == null
                                ? ""
                                : "prefix=" + conversation.prefix + ",prefix_len="
                                        + Math.min(promptTokens, scenario.requests.prefixTokens()) + ",")
                        + "prompt_len=" + promptTokens
                        + ",max_out=" + maxTokens + "\r\n" + (isRetry ? "X-Again: 1\r\n" : "")
                        + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] bytes = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, bytes, head.length, body.length);
        return bytes;
    }

    /** Waits until all requests have ended, at most for the given time (us), and returns those that have. */
    List<RequestRecord> awaitResults(long timeoutMicros) {
        long deadline = EngineSiteProcess.nowMicros() + timeoutMicros;
        synchronized (results) {
            while (pendingRequests > 0 && EngineSiteProcess.nowMicros() < deadline) {
                EngineSiteProcess.await(results, 100_000);
            }
            finished = true;
            return List.copyOf(results);
        }
    }

    /** Number of unsolicited second responses on a connection. */
    int duplicateResponses() {
        synchronized (results) {
            return duplicateResponses;
        }
    }

    /** 99th percentile of the delay between due time and sending (us), which is the laboratory's own error. */
    long sendDelayP99Micros() {
        synchronized (sendDelays) {
            return sendDelays.getValueAtPercentile(99);
        }
    }

    /** Number of requests that have not ended. */
    int pendingRequests() {
        synchronized (results) {
            return pendingRequests;
        }
    }
}
