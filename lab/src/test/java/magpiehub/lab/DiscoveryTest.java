package magpiehub.lab;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.Timeout;

/** The discovery stand-in and its faults, as a router meets them. */
public class DiscoveryTest {
    @Rule
    public final Timeout patience = Timeout.seconds(60);

    private final Discovery discovery =
            new Discovery(List.of("north", "south"), (from, m) -> "10.0." + from + "." + m.number() + ":80");
    private InetSocketAddress at;

    @Before
    public void open() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at = (InetSocketAddress) free.getLocalSocketAddress();
        }
        discovery.serve(4, 1, at);
        discovery.put("a", 0, 1, "Ready", 0);
        discovery.put("b", 1, 2, "Ready", 0);
    }

    @After
    public void close() throws IOException {
        discovery.close();
    }

    private BufferedReader ask(String target) throws IOException {
        Socket s = new Socket(at.getAddress(), at.getPort());
        s.setSoTimeout(30_000);
        s.getOutputStream()
                .write(("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** The next line of a watch that tells something; null at its end. */
    private static String told(BufferedReader in) throws IOException {
        for (String l = in.readLine(); l != null; l = in.readLine()) {
            if (l.startsWith("{")) {
                return l;
            }
        }
        return null;
    }

    @Test
    public void aRouterIsToldTheWholeListAndThenEachChangeByItsOwnAddresses() throws IOException {
        BufferedReader watch = ask("/discovery/hosts?follow=1");
        String all = told(watch);
        assertTrue(all, all.contains("\"complete\":true") && all.contains("\"host_port\":\"10.0.1.2:80\""));
        assertEquals(Long.MAX_VALUE, discovery.told("a", 4));
        discovery.put("a", 0, 1, "Terminating", 0);
        String change = told(watch);
        assertTrue(change, change.contains("Terminating") && !change.contains("\"id\":\"b\""));
        assertTrue("and it is known when", discovery.told("a", 4) <= EngineSite.micros());
        discovery.put("a", 0, 1, "Gone", 0);
        assertTrue(told(watch).contains("Gone"));
        String later = told(ask("/discovery/hosts?follow=1&since=3"));
        assertTrue("only what came after", later.contains("Gone") && !later.contains("\"id\":\"b\""));
    }

    @Test
    public void aLateListTellsNothingBeforeItsTimeAndAllOfItThen() throws IOException {
        BufferedReader watch = ask("/discovery/hosts?follow=1");
        told(watch);
        discovery.late(200_000);
        long from = EngineSite.micros();
        discovery.put("b", 1, 2, "Gone", 0);
        assertTrue(
                "a router that starts now knows no more",
                discovery.known(4, 1).contains("\"id\":\"b\"") || EngineSite.micros() - from >= 200_000);
        assertTrue(
                "a list asked for meanwhile is as late",
                told(ask("/discovery/hosts?follow=1")).contains("\"id\":\"b\"")
                        || EngineSite.micros() - from >= 200_000);
        assertTrue(told(watch).contains("Gone"));
        assertTrue(EngineSite.micros() - from >= 200_000);
    }

    @Test
    public void aTornWatchEndsInALineAndTheNextIsWhole() throws IOException {
        BufferedReader watch = ask("/discovery/hosts?follow=1");
        told(watch);
        discovery.tear();
        String half = told(watch);
        assertTrue(half, half != null && !half.endsWith("}"));
        assertEquals("and no more", null, told(watch));
        assertTrue(told(ask("/discovery/hosts?follow=1")).endsWith("]}"));
    }

    @Test
    public void whileItIsDownNobodyIsAnswered() throws IOException {
        BufferedReader watch = ask("/discovery/hosts?follow=1");
        told(watch);
        discovery.down(true);
        for (BufferedReader in : List.of(watch)) {
            try {
                assertEquals(null, told(in));
            } catch (IOException e) {
                assertTrue("a reset is an end", e.getMessage() != null);
            }
        }
        discovery.down(false);
        assertTrue(told(ask("/discovery/hosts?follow=1")).contains("\"complete\":true"));
    }
}
