package magpiehub.lab;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.concurrent.DaemonThreads;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;

/**
 * Fake discovery service: serves the endpoint list and its watch. It has one listener per router, because each site
 * reaches the engines over paths of its own. On request the list is delayed, truncated, wrong or unavailable.
 * Records when each change was sent to each router, so that a router is not blamed for a change that it never received.
 */
final class FakeDiscovery {
    private static final long WATCH_HEARTBEAT_MICROS = 2_000_000;

    /** One engine's entry in the list. */
    record Member(String id, int site, int number, String phase, long upSinceMs, long revision) {}

    private final List<String> sites;
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Previous entries of engines whose newest change has not been published yet. */
    private final Map<String, Member> previousEntries = new HashMap<>();
    /** When each engine's drain or removal was first sent to a router, by "ID@router" (us). */
    private final Map<String, Long> firstSentMicros = new HashMap<>();
    /** Changes that have not been published yet: revision and publication time (us). */
    private final List<long[]> pendingChanges = new ArrayList<>();

    private long revision = 1;
    private long delayMicros;
    private boolean truncateNext;
    private boolean down;
    private final Set<Socket> openConnections = new HashSet<>();
    private final List<ServerSocket> servers = new ArrayList<>();

    /** Resolves the address at which a site's routers reach an engine. */
    interface AddressResolver {
        String of(int fromSite, Member member);
    }

    private final AddressResolver addresses;

    FakeDiscovery(List<String> sites, AddressResolver addresses) {
        this.sites = sites;
        this.addresses = addresses;
    }

    /** Starts the listener for one router. */
    void listen(int router, int site, InetSocketAddress address) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address, 512);
        servers.add(server);
        DaemonThreads.newThread("discovery-" + sites.get(site), () -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            synchronized (this) {
                                if (down) {
                                    Relay.abort(socket);
                                    continue;
                                }
                                openConnections.add(socket);
                            }
                            DaemonThreads.newThread("discovery-call", () -> serveConnection(router, site, socket))
                                    .start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                })
                .start();
    }

    /** Sets an engine's entry, whether or not it matches the engine's real state. */
    synchronized void setMember(String id, int site, int number, String phase, long upSinceMs) {
        revision++;
        Member previous = members.put(id, new Member(id, site, number, phase, upSinceMs, revision));
        long due = EngineSiteProcess.nowMicros() + delayMicros;
        if (delayMicros > 0) {
            if (previous != null) {
                // Without the old entry, the complete list would reveal the change early.
                previousEntries.putIfAbsent(id, previous);
            }
            pendingChanges.add(new long[] {revision, due});
        }
        notifyAll();
    }

    synchronized Member member(String id) {
        return members.get(id);
    }

    synchronized List<Member> members() {
        return List.copyOf(members.values());
    }

    /** Delays the publication of changes from now on. */
    synchronized void setDelay(long micros) {
        delayMicros = micros;
    }

    /** Truncates the next message of one watch in the middle of a line and closes the watch, once. */
    synchronized void truncateNextMessage() {
        truncateNext = true;
        notifyAll();
    }

    /** While set, resets new connections; setting it resets the open ones too. */
    void setDown(boolean isDown) {
        List<Socket> connections;
        synchronized (this) {
            down = isDown;
            connections = List.copyOf(openConnections);
            notifyAll();
        }
        if (isDown) {
            connections.forEach(Relay::abort);
        }
    }

    /** When a router was first sent an engine's drain or removal (us); {@code Long.MAX_VALUE} if never. */
    synchronized long firstSentMicros(String id, int router) {
        return firstSentMicros.getOrDefault(id + "@" + router, Long.MAX_VALUE);
    }

    void close() throws IOException {
        setDown(true);
        for (ServerSocket socket : servers) {
            socket.close();
        }
    }

    /** The newest revision that is due for publication; sets {@code waitMicros[0]} to the time until the next. */
    private long publishableRevision(long now, long[] waitMicros) {
        long newest = revision;
        waitMicros[0] = WATCH_HEARTBEAT_MICROS;
        for (long[] change : pendingChanges) {
            if (change[1] > now) {
                newest = Math.min(newest, change[0] - 1);
                waitMicros[0] = Math.min(waitMicros[0], change[1] - now);
            }
        }
        pendingChanges.removeIf(change -> change[1] <= now);
        return newest;
    }

    private void serveConnection(int router, int site, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(socket.getInputStream(), EngineSiteProcess::nowMicros);
            while (reader.awaitMessage()) {
                HttpHead head = reader.readRequestHead();
                if (!head.target().startsWith("/discovery/hosts")) {
                    socket.getOutputStream().write("HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n".getBytes(UTF_8));
                } else if (head.target().contains("follow=1")) {
                    streamWatch(router, site, socket.getOutputStream(), sinceRevision(head.target()));
                    return;
                } else {
                    byte[] body;
                    synchronized (this) {
                        long upToRevision = publishableRevision(EngineSiteProcess.nowMicros(), new long[1]);
                        body = listJson(router, site, 0, upToRevision, true).getBytes(UTF_8);
                    }
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + "Content-Length: "
                                            + body.length + "\r\n\r\n")
                                    .getBytes(UTF_8));
                    socket.getOutputStream().write(body);
                }
            }
        } catch (IOException e) {
            // The router has disconnected, or discovery is down.
        } finally {
            synchronized (this) {
                openConnections.remove(socket);
            }
        }
    }

    private static long sinceRevision(String target) {
        int position = target.indexOf("since=");
        String digits = position < 0 ? "0" : target.substring(position + 6).replaceAll("\\D.*", "");
        return digits.isEmpty() || digits.length() > 15 ? 0 : Long.parseLong(digits);
    }

    private void streamWatch(int router, int site, OutputStream output, long sinceRevision) throws IOException {
        output.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(UTF_8));
        long sentRevision = sinceRevision;
        boolean isFirst = true;
        boolean complete = true;
        while (true) {
            String line;
            synchronized (this) {
                if (down) {
                    return;
                }
                long[] waitMicros = new long[1];
                long upToRevision = publishableRevision(EngineSiteProcess.nowMicros(), waitMicros);
                if (!isFirst && upToRevision <= sentRevision && !truncateNext) {
                    EngineSiteProcess.await(this, waitMicros[0]);
                    upToRevision = publishableRevision(EngineSiteProcess.nowMicros(), waitMicros);
                }
                complete = isFirst && (sinceRevision <= 0 || sinceRevision > upToRevision);
                line = upToRevision > sentRevision || isFirst
                        ? listJson(router, site, complete ? 0 : sentRevision, upToRevision, complete)
                        : "";
                if (truncateNext) {
                    truncateNext = false;
                    line = line.isEmpty() ? "{\"revision\":" : line.substring(0, line.length() / 2);
                    output.write((Integer.toHexString(line.length() + 9) + "\r\n" + line).getBytes(UTF_8));
                    return;
                }
                sentRevision = Math.max(sentRevision, upToRevision);
                isFirst = false;
            }
            byte[] body = (line + "\n").getBytes(UTF_8);
            output.write((Integer.toHexString(body.length) + "\r\n").getBytes(UTF_8));
            output.write(body);
            output.write("\r\n".getBytes(UTF_8));
        }
    }

    /** The entries that changed after a revision, or all; records what is sent. The caller must hold the lock. */
    @SuppressWarnings("ReferenceEquality") // Identity distinguishes the newest entry from an equal older one.
    private String listJson(int router, int site, long afterRevision, long upToRevision, boolean complete) {
        StringBuilder json = new StringBuilder("{\"revision\":")
                .append(upToRevision)
                .append(",\"complete\":")
                .append(complete)
                .append(",\"members\":[");
        int count = 0;
        for (Member newest : members.values()) {
            Member member = newest.revision <= upToRevision ? newest : previousEntries.get(newest.id);
            if (member == newest) {
                previousEntries.remove(member.id);
            }
            if (member == null) {
                continue;
            }
            if (member.phase.equals("Ready")) {
                firstSentMicros.remove(member.id + "@" + router);
            } else {
                firstSentMicros.putIfAbsent(member.id + "@" + router, EngineSiteProcess.nowMicros());
            }
            if (member.revision > afterRevision && !(complete && member.phase.equals("Gone"))) {
                json.append(count++ == 0 ? "" : ",").append(memberJson(site, member));
            }
        }
        return json.append("]}").toString();
    }

    /** The complete list for a router's initial configuration: only what has been published so far. */
    synchronized String initialList(int router, int site) {
        return listJson(router, site, 0, publishableRevision(EngineSiteProcess.nowMicros(), new long[1]), true);
    }

    private String memberJson(int site, Member member) {
        return "{\"id\":\"" + member.id + "\",\"host_port\":\"" + addresses.of(site, member) + "\",\"locality\":\""
                + sites.get(member.site) + "\",\"flavor\":\"m\",\"cell\":" + member.site + ",\"phase\":\""
                + member.phase
                + "\",\"size\":1.0,\"up_since_ms\":" + member.upSinceMs + "}";
    }
}
