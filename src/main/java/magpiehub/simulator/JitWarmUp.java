package magpiehub.simulator;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Runs a synthetic exchange through a separate adapter before the first real message, so that the just-in-time compiler
 * has compiled parsing and routing decisions by the time they are needed. All output and state are discarded.
 */
public final class JitWarmUp {
    /** Rounds for the adapter, whose CPU time is measured, so that it pays for a longer warm-up. */
    public static final int ADAPTER_ROUNDS = 2500;

    /** Rounds for a router: few, because clients wait for it to start. */
    public static final int ROUTER_ROUNDS = 100;

    private static final int ENDPOINTS = 24;
    private static final int ZONES = 2;

    /** Sessions and prompt prefixes, used in rotation: some recur, so that affinity lookups are exercised too. */
    private static final int SESSIONS = 97;

    private static final int PREFIXES = 13;

    /** Every n-th attempt is rejected by its replica, so that the failure paths are compiled too. */
    private static final int ROUNDS_PER_REJECTION = 31;

    private static final int OUTCOME_OK = 0;
    private static final int OUTCOME_REJECTED = 8;

    private static final int FIRST_ROUND_MILLIS = 10;
    private static final int ROUND_INTERVAL_MILLIS = 20;
    private static final int DEADLINE_MILLIS = 4000;

    /** Multipliers that spread ids over the range of real ids. */
    private static final long REQUEST_ID_SPREAD = 0x9e3779b9L;

    private static final long SESSION_ID_SPREAD = 1_000_000_007L;
    private static final long PREFIX_ID_SPREAD = 2_000_000_011L;

    private static final int INITIAL_SCRIPT_CAPACITY = 1 << 20;

    private static final String PROVISION =
            """
            {"ROUND":{"atTimeMs":1}}
            {"PROVISION":{"who":0,"initSeed":1,"facts":{"instances":2,"me":0,"myZone":0,
            "zones":["a","b"],"membershipMode":"automatic","classes":[{"aimMs":1000,"deadlineMs":4000,
            "effect":"pure","gain":1,"stream":true}],"limits":{"mostTries":4,"cancel":true,
            "parallelTries":true},"guarantees":{"coldMs":9000}}}}
            {"PEERS_KNOWN":{"who":0,"kind":"Persisted","revision":1,"nodesList":[""";

    private static final String ENDPOINT =
            """
            {"engine":"10.0.0.%d:9000","failureDomain":%d,"familyType":0,"pod":0,"state":"live",
            "powerHint":1.25}""";

    private static final String END_OF_PROVISION = "]}}\n{\"EOB\":{}}\n";

    private static final String REQUEST_ROUND =
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
            """;

    private JitWarmUp() {}

    /** Runs the exchange for a number of rounds, each with one request and its answer. */
    public static void run(int rounds) throws IOException {
        byte[] script = script(rounds);
        PrintStream discardedErrors = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        new SimulatorAdapter(new ByteArrayInputStream(script), OutputStream.nullOutputStream(), discardedErrors).run();
    }

    private static byte[] script(int rounds) {
        StringBuilder script = new StringBuilder(INITIAL_SCRIPT_CAPACITY);
        appendProvision(script);
        for (int round = 0; round < rounds; round++) {
            appendRound(script, round);
        }
        return script.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendProvision(StringBuilder script) {
        script.append(PROVISION);
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            script.append(endpoint == 0 ? "" : ",");
            script.append(ENDPOINT.formatted(endpoint, endpoint % ZONES));
        }
        script.append(END_OF_PROVISION);
    }

    private static void appendRound(StringBuilder script, int round) {
        int nowMillis = FIRST_ROUND_MILLIS + ROUND_INTERVAL_MILLIS * round;
        long requestId = round * REQUEST_ID_SPREAD;
        long sessionId = SESSION_ID_SPREAD * (round % SESSIONS);
        long prefixId = PREFIX_ID_SPREAD * (round % PREFIXES + 1);
        int outcome = round % ROUNDS_PER_REJECTION == 0 ? OUTCOME_REJECTED : OUTCOME_OK;
        script.append(REQUEST_ROUND.formatted(
                nowMillis, requestId, sessionId, nowMillis + DEADLINE_MILLIS, prefixId, outcome));
    }
}
