package magpiehub.simulator;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Plays a made-up exchange through a throw-away adapter before the first real batch, so that parsing and
 * decisions are compiled when they are needed. Nothing of it is kept: the adapter and its node are dropped.
 */
public final class JitWarmUp {
    /** Rounds for the adapter, whose CPU time is measured, and for a router, whose clients wait for it. */
    public static final int MANY = 2500;

    public static final int FEW = 100;
    private static final int SERVERS = 24;

    private JitWarmUp() {}

    /** Plays it. */
    public static void run(int rounds) throws IOException {
        byte[] script = script(rounds);
        PrintStream nowhere = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        new SimulatorAdapter(new ByteArrayInputStream(script), OutputStream.nullOutputStream(), nowhere).run();
    }

    private static byte[] script(int rounds) {
        StringBuilder b = new StringBuilder(1 << 20);
        b.append(
                """
                {"ROUND":{"atTimeMs":1}}
                {"PROVISION":{"who":0,"initSeed":1,"facts":{"instances":2,"me":0,"myZone":0,
                "zones":["a","b"],"membershipMode":"automatic","classes":[{"aimMs":1000,"deadlineMs":4000,
                "effect":"pure","gain":1,"stream":true}],"limits":{"mostTries":4,"cancel":true,
                "parallelTries":true},"guarantees":{"coldMs":9000}}}}
                {"PEERS_KNOWN":{"who":0,"kind":"Persisted","revision":1,"nodesList":[""");
        for (int i = 0; i < SERVERS; i++) {
            b.append(i == 0 ? "" : ",")
                    .append(
                            """
                    {"engine":"10.0.0.%d:9000","failureDomain":%d,"familyType":0,"pod":0,"state":"live",
                    "powerHint":1.25}"""
                                    .formatted(i, i % 2));
        }
        b.append("]}}\n{\"EOB\":{}}\n");
        for (int i = 0; i < rounds; i++) {
            int now = 10 + 20 * i;
            b.append(
                    """
                    {"ROUND":{"atTimeMs":%1$d}}
                    {"INGRESS":{"who":0,"job":"%2$016x","type":0,"customer":0,"pathKey":%3$d,
                    "dropDeadMs":%4$d.25,"predictedMs":12.5,"sharedPrefix":%5$d,
                    "nPrompt":1800,"prefixLen":1200,"maxOut":256}}
                    {"EOB":{}}
                    {"ROUND":{"atTimeMs":%1$d.5}}
                    {"BEGUN":{"who":0,"job":"%2$016x","n":0,"engine":"10.0.0.1:9000","tookMs":8.5}}
                    {"TICK_DUE":{"who":0,"nonce":1}}
                    {"EOB":{}}
                    {"ROUND":{"atTimeMs":%1$d.75}}
                    {"ANSWER":{"who":0,"job":"%2$016x","n":0,"engine":"10.0.0.1:9000","reason":%6$d,
                    "tookMs":16.5,"settled":true,"detail":1200,"serverStats":{"util":0.5}}}
                    {"EOB":{}}
                    """
                            .formatted(
                                    now,
                                    i * 0x9e3779b9L,
                                    1_000_000_007L * (i % 97),
                                    now + 4000,
                                    2_000_000_011L * (i % 13 + 1),
                                    i % 31 == 0 ? 8 : 0));
        }
        return b.toString().getBytes(StandardCharsets.UTF_8);
    }
}
