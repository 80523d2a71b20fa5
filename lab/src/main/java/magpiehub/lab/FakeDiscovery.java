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
    private static final long HEARTBEAT = 2_000_000;

    /** One engine's entry in the list. */
    record Member(String id, int site, int number, String phase, long upSinceMs, long revision) {}

    private final List<String> sites;
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Previous entries of engines whose newest change has not been published yet. */
    private final Map<String, Member> before = new HashMap<>();
    /** When each engine's drain or removal was first sent to a router, by "ID@router" (us). */
    private final Map<String, Long> told = new HashMap<>();
    /** Changes that have not been published yet: revision and publication time (us). */
    private final List<long[]> changes = new ArrayList<>();

    private long revision = 1;
    private long lateUs;
    private boolean torn;
    private boolean down;
    private final Set<Socket> open = new HashSet<>();
    private final List<ServerSocket> servers = new ArrayList<>();

    /** Resolves the address at which a site's routers reach an engine. */
    interface Addresses {
        String of(int fromSite, Member m);
    }

    private final Addresses addresses;

    FakeDiscovery(List<String> sites, Addresses addresses) {
        this.sites = sites;
        this.addresses = addresses;
    }

    /** Starts the listener for one router. */
    void serve(int router, int site, InetSocketAddress at) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(at, 512);
        servers.add(server);
        DaemonThreads.newThread("discovery-" + sites.get(site), () -> {
                    while (true) {
                        try {
                            Socket s = server.accept();
                            synchronized (this) {
                                if (down) {
                                    Relay.abort(s);
                                    continue;
                                }
                                open.add(s);
                            }
                            DaemonThreads.newThread("discovery-call", () -> call(router, site, s))
                                    .start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                })
                .start();
    }

    /** Sets an engine's entry, whether or not it matches the engine's real state. */
    synchronized void put(String id, int site, int number, String phase, long upSinceMs) {
        revision++;
        Member old = members.put(id, new Member(id, site, number, phase, upSinceMs, revision));
        long due = EngineSiteProcess.nowMicros() + lateUs;
        if (lateUs > 0) {
            if (old != null) {
                before.putIfAbsent(id, old); // Without the old entry, the complete list would reveal the change early.
            }
            changes.add(new long[] {revision, due});
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
    synchronized void late(long us) {
        lateUs = us;
    }

    /** Truncates the next message of one watch in the middle of a line and closes the watch, once. */
    synchronized void tear() {
        torn = true;
        notifyAll();
    }

    /** While set, resets new connections; setting it resets the open ones too. */
    void down(boolean now) {
        List<Socket> all;
        synchronized (this) {
            down = now;
            all = List.copyOf(open);
            notifyAll();
        }
        if (now) {
            all.forEach(Relay::abort);
        }
    }

    /** When a router was first sent an engine's drain or removal (us); {@code Long.MAX_VALUE} if never. */
    synchronized long told(String id, int router) {
        return told.getOrDefault(id + "@" + router, Long.MAX_VALUE);
    }

    void close() throws IOException {
        down(true);
        for (ServerSocket s : servers) {
            s.close();
        }
    }

    /** The newest revision that is due for publication; stores the time until the next one in {@code wait[0]} (us). */
    private long tellable(long now, long[] wait) {
        long most = revision;
        wait[0] = HEARTBEAT;
        for (long[] c : changes) {
            if (c[1] > now) {
                most = Math.min(most, c[0] - 1);
                wait[0] = Math.min(wait[0], c[1] - now);
            }
        }
        changes.removeIf(c -> c[1] <= now);
        return most;
    }

    private void call(int router, int site, Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            HttpReader in = new HttpReader(s.getInputStream(), EngineSiteProcess::nowMicros);
            while (in.awaitMessage()) {
                HttpHead h = in.readRequestHead();
                if (!h.target().startsWith("/discovery/hosts")) {
                    s.getOutputStream().write("HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n".getBytes(UTF_8));
                } else if (h.target().contains("follow=1")) {
                    follow(router, site, s.getOutputStream(), since(h.target()));
                    return;
                } else {
                    byte[] b;
                    synchronized (this) {
                        long upTo = tellable(EngineSiteProcess.nowMicros(), new long[1]);
                        b = list(router, site, 0, upTo, true).getBytes(UTF_8);
                    }
                    s.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + "Content-Length: "
                                            + b.length + "\r\n\r\n")
                                    .getBytes(UTF_8));
                    s.getOutputStream().write(b);
                }
            }
        } catch (IOException e) {
            // The router has disconnected, or discovery is down.
        } finally {
            synchronized (this) {
                open.remove(s);
            }
        }
    }

    private static long since(String target) {
        int at = target.indexOf("since=");
        String v = at < 0 ? "0" : target.substring(at + 6).replaceAll("\\D.*", "");
        return v.isEmpty() || v.length() > 15 ? 0 : Long.parseLong(v);
    }

    private void follow(int router, int site, OutputStream to, long since) throws IOException {
        to.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(UTF_8));
        long sent = since;
        boolean first = true;
        boolean whole = true;
        while (true) {
            String line;
            synchronized (this) {
                if (down) {
                    return;
                }
                long[] wait = new long[1];
                long upTo = tellable(EngineSiteProcess.nowMicros(), wait);
                if (!first && upTo <= sent && !torn) {
                    EngineSiteProcess.await(this, wait[0]);
                    upTo = tellable(EngineSiteProcess.nowMicros(), wait);
                }
                whole = first && (since <= 0 || since > upTo);
                line = upTo > sent || first ? list(router, site, whole ? 0 : sent, upTo, whole) : "";
                if (torn) {
                    torn = false;
                    line = line.isEmpty() ? "{\"revision\":" : line.substring(0, line.length() / 2);
                    to.write((Integer.toHexString(line.length() + 9) + "\r\n" + line).getBytes(UTF_8));
                    return;
                }
                sent = Math.max(sent, upTo);
                first = false;
            }
            byte[] b = (line + "\n").getBytes(UTF_8);
            to.write((Integer.toHexString(b.length) + "\r\n").getBytes(UTF_8));
            to.write(b);
            to.write("\r\n".getBytes(UTF_8));
        }
    }

    /** The entries that changed after a revision, or all; records what is sent. The caller must hold the lock. */
    @SuppressWarnings("ReferenceEquality") // Identity distinguishes the newest entry from an equal older one.
    private String list(int router, int site, long after, long upTo, boolean whole) {
        StringBuilder l = new StringBuilder("{\"revision\":")
                .append(upTo)
                .append(",\"complete\":")
                .append(whole)
                .append(",\"members\":[");
        int n = 0;
        for (Member newest : members.values()) {
            Member m = newest.revision <= upTo ? newest : before.get(newest.id);
            if (m == newest) {
                before.remove(m.id);
            }
            if (m == null) {
                continue;
            }
            if (m.phase.equals("Ready")) {
                told.remove(m.id + "@" + router);
            } else {
                told.putIfAbsent(m.id + "@" + router, EngineSiteProcess.nowMicros());
            }
            if (m.revision > after && !(whole && m.phase.equals("Gone"))) {
                l.append(n++ == 0 ? "" : ",").append(entry(site, m));
            }
        }
        return l.append("]}").toString();
    }

    /** The complete list for a router's initial configuration: only what has been published so far. */
    synchronized String known(int router, int site) {
        return list(router, site, 0, tellable(EngineSiteProcess.nowMicros(), new long[1]), true);
    }

    private String entry(int site, Member m) {
        return "{\"id\":\"" + m.id + "\",\"host_port\":\"" + addresses.of(site, m) + "\",\"locality\":\""
                + sites.get(m.site) + "\",\"flavor\":\"m\",\"cell\":" + m.site + ",\"phase\":\"" + m.phase
                + "\",\"size\":1.0,\"up_since_ms\":" + m.upSinceMs + "}";
    }
}
