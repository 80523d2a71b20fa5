package magpiehub.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the fake discovery service and its faults from a router's point of view. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FakeDiscoveryTest {
    private final FakeDiscovery discovery =
            new FakeDiscovery(List.of("north", "south"), (from, m) -> "10.0." + from + "." + m.number() + ":80");
    private InetSocketAddress address;

    @BeforeEach
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void open() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        discovery.listen(4, 1, address);
        discovery.setMember("a", 0, 1, "Ready", 0);
        discovery.setMember("b", 1, 2, "Ready", 0);
    }

    @AfterEach
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void close() throws IOException {
        discovery.close();
    }

    private BufferedReader request(String target) throws IOException {
        Socket s = new Socket(address.getAddress(), address.getPort());
        s.setSoTimeout(30_000);
        s.getOutputStream()
                .write(("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** The next line of a watch that contains a message; null at its end. */
    private static String nextMessage(BufferedReader in) throws IOException {
        for (String l = in.readLine(); l != null; l = in.readLine()) {
            if (l.startsWith("{")) {
                return l;
            }
        }
        return null;
    }

    @Test
    void watchSendsCompleteListThenChangesWithAddressesOfItsSite() throws IOException {
        BufferedReader watch = request("/discovery/hosts?follow=1");
        String all = nextMessage(watch);
        assertTrue(all.contains("\"complete\":true") && all.contains("\"host_port\":\"10.0.1.2:80\""), all);
        assertEquals(Long.MAX_VALUE, discovery.firstSentMicros("a", 4));
        discovery.setMember("a", 0, 1, "Terminating", 0);
        String change = nextMessage(watch);
        assertTrue(change.contains("Terminating") && !change.contains("\"id\":\"b\""), change);
        assertTrue(
                discovery.firstSentMicros("a", 4) <= EngineSiteProcess.nowMicros(), "the time of sending is recorded");
        discovery.setMember("a", 0, 1, "Gone", 0);
        assertTrue(nextMessage(watch).contains("Gone"));
        String later = nextMessage(request("/discovery/hosts?follow=1&since=3"));
        assertTrue(later.contains("Gone") && !later.contains("\"id\":\"b\""), "only later changes are sent");
    }

    @Test
    void delayedChangeIsSentOnlyAfterTheDelay() throws IOException {
        BufferedReader watch = request("/discovery/hosts?follow=1");
        nextMessage(watch);
        discovery.setDelay(200_000);
        long from = EngineSiteProcess.nowMicros();
        discovery.setMember("b", 1, 2, "Gone", 0);
        assertTrue(
                discovery.initialList(4, 1).contains("\"id\":\"b\"") || EngineSiteProcess.nowMicros() - from >= 200_000,
                "a newly started router gets no later state");
        assertTrue(
                nextMessage(request("/discovery/hosts?follow=1")).contains("\"id\":\"b\"")
                        || EngineSiteProcess.nowMicros() - from >= 200_000,
                "a list requested in the meantime is delayed as well");
        assertTrue(nextMessage(watch).contains("Gone"));
        assertTrue(EngineSiteProcess.nowMicros() - from >= 200_000);
    }

    @Test
    void truncatedWatchEndsWithinALineAndTheNextIsComplete() throws IOException {
        BufferedReader watch = request("/discovery/hosts?follow=1");
        nextMessage(watch);
        discovery.truncateNextMessage();
        String half = nextMessage(watch);
        assertTrue(half != null && !half.endsWith("}"), half);
        assertEquals(null, nextMessage(watch), "the watch ends");
        assertTrue(nextMessage(request("/discovery/hosts?follow=1")).endsWith("]}"));
    }

    @Test
    void noRequestIsAnsweredWhileDown() throws IOException {
        BufferedReader watch = request("/discovery/hosts?follow=1");
        nextMessage(watch);
        discovery.setDown(true);
        for (BufferedReader in : List.of(watch)) {
            try {
                assertEquals(null, nextMessage(in));
            } catch (IOException e) {
                assertTrue(e.getMessage() != null, "a reset ends the watch as well");
            }
        }
        discovery.setDown(false);
        assertTrue(nextMessage(request("/discovery/hosts?follow=1")).contains("\"complete\":true"));
    }
}
