package magpiehub.store;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.After;
import org.junit.Test;

/** Replicas on loopback: what they promise, and no more. */
public class KeyValueStoreTest {
    private final List<LastWriteWinsStore> all = new ArrayList<>();
    private final SyslogEventLog log = new SyslogEventLog(System.err, "test", 1);

    private LastWriteWinsStore replica(String name, int port) throws IOException {
        LastWriteWinsStore s = new LastWriteWinsStore(
                name, new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), MonotonicClock.SYSTEM, log);
        all.add(s);
        return s;
    }

    private static void join(LastWriteWinsStore from, LastWriteWinsStore to) {
        from.join("127.0.0.1:" + to.port());
    }

    private static void await(BooleanSupplier what) {
        for (int i = 0; !what.getAsBoolean(); i++) {
            assertTrue("never came", i < 40_000);
            java.util.concurrent.locks.LockSupport.parkNanos(500_000);
        }
    }

    private static void say(LastWriteWinsStore to, String line) throws IOException {
        try (Socket s = new Socket("127.0.0.1", to.port())) {
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    @After
    public void end() {
        all.forEach(LastWriteWinsStore::close);
    }

    @Test
    public void writesReachReplicasThatNobodyDialsDirectly() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        LastWriteWinsStore c = replica("c", 0);
        a.put("before", "1");
        join(a, b);
        join(b, c);
        await(() -> "1".equals(c.get("before")));
        a.put("after", "2");
        await(() -> "2".equals(c.get("after")));
        assertEquals(Map.of("after", "2"), c.under("a"));
        a.put("before", null);
        await(() -> c.get("before") == null);
    }

    @Test
    public void writesAtOnceEndAlikeEverywhere() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        a.put("k", "from a");
        b.put("k", "from b");
        join(a, b);
        join(b, a);
        await(() -> "from b".equals(a.get("k")));
        assertEquals("the higher name wins a tie", "from b", b.get("k"));
    }

    @Test
    public void anOlderWriteBringsNothingBack() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        a.put("k", "1");
        a.put("k", null);
        say(
                a,
                "{\"key\":\"k\",\"value\":\"0\",\"count\":\"1\",\"by\":\"z\"}\n"
                        + "{\"key\":\"mark\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}");
        await(() -> a.get("mark") != null);
        assertNull(a.get("k"));
    }

    @Test
    public void aReplicaThatComesBackEmptyIsToldEverything() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        join(a, b);
        a.put("k", "1");
        await(() -> b.get("k") != null);
        int port = b.port();
        b.close();
        LastWriteWinsStore again = replica("b", port);
        await(() -> "1".equals(again.get("k")));
    }

    @Test
    public void anOperatorsWriteGetsItsStampFromTheReplica() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        a.put("k", "1");
        say(a, "{\"key\":\"k\",\"value\":\"2\"}");
        await(() -> "2".equals(a.get("k")));
    }

    @Test
    public void rubbishEndsItsOwnLinkOnly() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        say(a, "{\"key\":");
        say(a, "{\"key\":\"k\",\"count\":\"x\",\"by\":\"z\"}");
        say(a, "{\"key\":\"k\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}");
        await(() -> "1".equals(a.get("k")));
    }
}
