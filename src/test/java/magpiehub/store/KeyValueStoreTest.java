package magpiehub.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.telemetry.SyslogEventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests replication and conflict resolution between replicas on loopback. */
class KeyValueStoreTest {
    private static final long SEED = 64;
    private static final int EDITS = 300;
    private static final int KEYS = 5;
    private static final int EDITS_PER_RESTART = 30;
    private static final int ENDS_AFTER_EDIT = 50;

    private final List<LastWriteWinsStore> replicas = new ArrayList<>();
    private final SyslogEventLog log = new SyslogEventLog(System.err, "test", 1);
    /** While it stands still, writes are ordered by the counters alone. */
    private final AtomicLong wallClockMicros = new AtomicLong();

    private LastWriteWinsStore replica(String name, int port, LastWriteWinsStore... peers) throws IOException {
        LastWriteWinsStore replica = new LastWriteWinsStore(
                name,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                Stream.of(peers).map(KeyValueStoreTest::address).toList(),
                MonotonicClock.SYSTEM,
                wallClockMicros::get,
                log);
        replicas.add(replica);
        return replica;
    }

    private static String address(LastWriteWinsStore replica) {
        return "127.0.0.1:" + replica.port();
    }

    /** Closes a replica and starts it again, without entries. */
    private LastWriteWinsStore restart(LastWriteWinsStore replica, String name, LastWriteWinsStore... peers)
            throws IOException {
        replica.close();
        return replica(name, replica.port(), peers);
    }

    private static void link(LastWriteWinsStore from, LastWriteWinsStore to) {
        from.addPeer(address(to));
    }

    private static void await(BooleanSupplier condition) {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 40_000, "condition not met in time");
            LockSupport.parkNanos(500_000);
        }
    }

    private static void send(LastWriteWinsStore to, String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), to.port())) {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Sends an operator's write, and returns once the replica has applied it and closed the connection. */
    private static void edit(LastWriteWinsStore replica, String key, String value) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), replica.port())) {
            String line = "{\"key\":\"" + key + "\",\"value\":\"" + value + "\"}\n";
            socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @AfterEach
    void closeReplicas() {
        replicas.forEach(LastWriteWinsStore::close);
    }

    @Test
    void writesAreForwardedToReplicasWithoutADirectLink() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        LastWriteWinsStore c = replica("c", 0);
        a.put("before", "1");
        link(a, b);
        link(b, c);
        await(() -> "1".equals(c.get("before")));
        a.put("after", "2");
        await(() -> "2".equals(c.get("after")));
        assertEquals(Map.of("after", "2"), c.entriesWithPrefix("a"));
        a.put("before", null);
        await(() -> c.get("before") == null);
    }

    @Test
    void concurrentWritesConvergeToTheSameValue() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        a.put("k", "from a");
        b.put("k", "from b");
        link(a, b);
        link(b, a);
        await(() -> "from b".equals(a.get("k")));
        assertEquals("from b", b.get("k"), "the greater replica name wins for equal counters");
    }

    @Test
    void anOlderWriteDoesNotRestoreARemovedKey() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        a.put("k", "1");
        a.put("k", null);
        send(
                a,
                "{\"key\":\"k\",\"value\":\"0\",\"count\":\"1\",\"by\":\"z\"}\n"
                        + "{\"key\":\"end\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}");
        await(() -> a.get("end") != null);
        assertNull(a.get("k"));
    }

    @Test
    void aRestartedReplicaReceivesAllEntries() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        link(a, b);
        a.put("k", "1");
        await(() -> b.get("k") != null);
        int port = b.port();
        b.close();
        LastWriteWinsStore restarted = replica("b", port);
        await(() -> "1".equals(restarted.get("k")));
    }

    /** Guards against lost edits: a restarted replica must not give an edit a timestamp below that of an older one. */
    @Test
    void anEditAtARestartedReplicaReplacesOlderOnes() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0, a);
        link(a, b);
        edit(b, "k", "first");
        edit(b, "other", "1");
        await(() -> "1".equals(a.get("other")));
        LastWriteWinsStore restarted = restart(b, "b", a);
        edit(restarted, "k", "second");
        assertEquals("1", restarted.get("other"), "it has fetched the entries before it takes an edit");
        await(() -> "second".equals(a.get("k")));
        assertEquals("second", restarted.get("k"));
    }

    /** The same without a peer to ask: then the wall clock orders the edit after those made before the restart. */
    @Test
    void anEditAtAReplicaThatRestartsAloneReplacesOlderOnes() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        link(b, a);
        edit(b, "k", "first");
        edit(b, "k", "second");
        await(() -> "second".equals(a.get("k")));
        wallClockMicros.set(1_000_000);
        LastWriteWinsStore restarted = restart(b, "b");
        edit(restarted, "k", "third");
        link(restarted, a);
        await(() -> "third".equals(a.get("k")));
    }

    /** A peer that accepts connections and never answers delays an edit, but does not prevent it. */
    @Test
    void anEditIsTakenAlthoughAPeerDoesNotAnswer() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            LastWriteWinsStore a = new LastWriteWinsStore(
                    "a",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    List.of("127.0.0.1:" + silent.getLocalPort()),
                    MonotonicClock.SYSTEM,
                    wallClockMicros::get,
                    log);
            replicas.add(a);
            edit(a, "k", "1");
            assertEquals("1", a.get("k"));
        }
    }

    /** Guards against replicas that differ for good: the same timestamp, once before and once after a restart. */
    @Test
    void valuesWithEqualTimestampsConvergeInWhateverOrderTheyArrive() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0);
        String older = "{\"key\":\"k\",\"value\":\"older\",\"count\":\"1\",\"by\":\"z\"}\n";
        String newer = "{\"key\":\"k\",\"value\":\"newer\",\"count\":\"1\",\"by\":\"z\"}\n";
        String end = "{\"key\":\"end\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}";
        send(a, older + newer + end);
        send(b, newer + older + end);
        await(() -> a.get("end") != null && b.get("end") != null);
        assertEquals(a.get("k"), b.get("k"));
    }

    /** Guards against lost edits: a replica that ends right after an edit must have sent it to a peer by then. */
    @Test
    void anEditThatHasBeenAcceptedIsOnItsWayToAPeer() throws IOException {
        LastWriteWinsStore b = replica("b", 0);
        for (int i = 0; i < ENDS_AFTER_EDIT; i++) {
            LastWriteWinsStore a = replica("a", 0, b);
            String key = "k" + i;
            edit(a, key, "1");
            a.close();
            await(() -> "1".equals(b.get(key)));
        }
    }

    @Test
    void anEditIsAcceptedAlthoughNoPeerCanBeReached() throws IOException {
        LastWriteWinsStore gone = replica("gone", 0);
        gone.close();
        LastWriteWinsStore a = replica("a", 0, gone);
        edit(a, "k", "1");
        assertEquals("1", a.get("k"));
        assertTrue(log.counters().contains("store_writes_unreplicated 1\n"), log.counters());
    }

    /** Edits at random replicas, one of which restarts again and again: the last edit of each key wins everywhere. */
    @Test
    void theLastEditOfEachKeyReachesAllReplicasAlthoughOneRestartsRepeatedly() throws IOException {
        Random random = new Random(SEED);
        Map<String, String> expected = new TreeMap<>();
        LastWriteWinsStore a = replica("a", 0);
        LastWriteWinsStore b = replica("b", 0, a);
        link(a, b);
        LastWriteWinsStore c = replica("c", 0, a, b);
        link(a, c);
        link(b, c);
        for (int i = 0; i < EDITS; i++) {
            String key = "k" + random.nextInt(KEYS);
            String value = "v" + i;
            boolean restarts = random.nextInt(EDITS_PER_RESTART) == 0;
            c = restarts ? restart(c, "c", a, b) : c;
            LastWriteWinsStore target = restarts ? c : List.of(a, b, c).get(random.nextInt(3));
            edit(target, key, value);
            expected.put(key, value);
            // Later edits may be made at any replica: of two racing edits, either may win.
            LastWriteWinsStore current = c;
            await(() -> Stream.of(a, b, current).allMatch(replica -> value.equals(replica.get(key))));
        }
        for (LastWriteWinsStore replica : List.of(a, b, c)) {
            assertEquals(expected, replica.entriesWithPrefix("k"));
        }
    }

    @Test
    void anOperatorsWriteGetsItsTimestampFromTheReplica() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        a.put("k", "1");
        send(a, "{\"key\":\"k\",\"value\":\"2\"}");
        await(() -> "2".equals(a.get("k")));
    }

    @Test
    void aMalformedLineClosesOnlyItsOwnConnection() throws IOException {
        LastWriteWinsStore a = replica("a", 0);
        send(a, "{\"key\":");
        send(a, "{\"key\":\"k\",\"count\":\"x\",\"by\":\"z\"}");
        send(a, "{\"key\":\"k\",\"value\":\"1\",\"count\":\"1\",\"by\":\"z\"}");
        await(() -> "1".equals(a.get("k")));
    }
}
