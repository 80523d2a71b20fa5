package magpiehub.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the adapter with hand-written batches, both valid and malformed. */
class SimulatorAdapterTest {
    private static final String PROVISIONED =
            """
            {"ROUND":{"atTimeMs":1000.5}}
            {"PROVISION":{"who":3,"initSeed":18446744073709551615,"new":{"deep":[1,{}]},"facts":{"odd":null,
            "classes":[{"aimMs":1000,"deadlineMs":4000,"effect":"pure","gain":1,"stream":true}],
            "limits":{"mostTries":4}}}}
            {"PEERS_KNOWN":{"who":3,"kind":"Persisted","revision":1,
            "nodesList":[{"engine":"a:1","failureDomain":0,"state":"live"}]}}
            {"EOB":{}}
            """;
    private static final String IN_BATCH = PROVISIONED + "{\"ROUND\":{\"atTimeMs\":1}}\n";
    private int status;
    private String out;
    private String err;

    private void run(String text) throws IOException {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        status = new SimulatorAdapter(
                        new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)),
                        replies,
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run();
        out = replies.toString(StandardCharsets.UTF_8);
        err = errors.toString(StandardCharsets.UTF_8);
    }

    private void assertMalformed(String text, String... expectedTexts) throws IOException {
        run(text);
        assertEquals(1, status, text);
        for (String expected : expectedTexts) {
            assertTrue(err.contains(expected), err + " lacks " + expected);
        }
        assertFalse(out.contains("INTERNAL"), out);
        assertTrue(out.isEmpty() || out.endsWith("{\"EOR\":{}}\n"), "no partially written reply: " + out);
    }

    @Test
    void emptyBatchAndEndOfInput() throws IOException {
        run("{\"ROUND\":{\"atTimeMs\":8412.25}}\n{\"EOB\":{}}\n");
        assertEquals(0, status);
        assertEquals("{\"EOR\":{}}\n", out);
        run("");
        assertEquals(0, status);
    }

    @Test
    void requestIsSentAndAnswered() throws IOException {
        run(
                PROVISIONED
                        + """
                {"ROUND":{"atTimeMs":1010}}
                {"INGRESS":{"who":3,"job":"00a1","dropDeadMs":5000,"unknown":[{"x":1}]}}
                {"EOB":{}}
                {"ROUND":{"atTimeMs":1020}}
                {"ANSWER":{"who":3,"job":"00a1","n":0,"engine":"a:1","reason":0,"tookMs":10,"settled":true}}
                {"ABANDONED":{"who":3,"job":"00a1"}}
                {"EXIT":{"who":3}}
                {"EOB":{}}
                """);
        assertEquals(0, status, err);
        assertTrue(out.contains("{\"PASS_ON\":{\"who\":3,\"job\":\"00a1\",\"engine\":\"a:1\"}}\n"), out);
        assertTrue(out.contains("{\"SCHEDULE\":{\"who\":3,\"alarmTimeMs\":1050.500,\"nonce\":1}}"), out);
        assertEquals(3, out.split("EOR", -1).length - 1);
    }

    @Test
    void textsAreEscapedInReplies() throws IOException {
        run(
                IN_BATCH
                        + """
                {"INGRESS":{"who":3,"job":"q\\"b\\\\u\\u00fcp\\ud83d\\ude00d\\u007fc\\u0001l\\ud800e",
                "type":9,"dropDeadMs":5000}}
                {"EOB":{}}
                """);
        assertEquals(0, status, err);
        String id = "q\\\"b\\\\u\u00fcp\ud83d\ude00d\u007fc\\u0001l?e";
        assertTrue(out.endsWith("{\"REJECT\":{\"who\":3,\"job\":\"" + id + "\"}}\n{\"EOR\":{}}\n"), out);
    }

    @Test
    void stopAndStartInOneBatch() throws IOException {
        String restarted = PROVISIONED.replace(
                "{\"EOB\":{}}",
                "{\"EXIT\":{\"who\":3}}\n"
                        + "{\"PROVISION\":{\"who\":3,\"facts\":{}}}\n"
                        + "{\"INGRESS\":{\"who\":3,\"job\":\"b\",\"dropDeadMs\":5000}}\n{\"EOB\":{}}");
        run(restarted);
        assertEquals(0, status, err);
        assertTrue(out.contains("{\"REJECT\":{\"who\":3,\"job\":\"b\"}}"), out);
    }

    @Test
    void malformedInputNamesLineAndField() throws IOException {
        assertMalformed("{\"ROUND\":{\"atTimeMs\":\"x\"}}\n", "line 1", "ROUND.atTimeMs", "must be a number");
        assertMalformed("{\"ROUND\":{\"atTimeMs\":1}}\n{\"ROUND\":{\"atTimeMs\":1}}\n", "line 2", "already open");
        assertMalformed("{\"EOB\":{}}\n", "line 1", "outside a batch");
        assertMalformed("{\"ROUND\":{}}\n", "ROUND.atTimeMs", "is missing");
        assertMalformed("[]\n", "line 1", "must be an object");
        assertMalformed("{\"ROUND\":{\"atTimeMs\":1}}\n", "inside a batch");
        assertMalformed(IN_BATCH + "{\"INGRESS\":{\"who\":3,\"dropDeadMs\":1}}\n", "INGRESS.job");
        assertMalformed(IN_BATCH + "{\"INGRESS\":{\"who\":3,\"job\":\"a\"}}\n", "INGRESS.dropDeadMs");
        assertMalformed(IN_BATCH + "{\"INGRESS\":{\"who\":4,\"job\":\"a\"}}\n", "who", "not started");
        assertMalformed(IN_BATCH + "{\"NONSENSE\":{\"who\":3}}\n", "NONSENSE", "unknown message");
        assertMalformed(IN_BATCH + "{\"ANSWER\":{\"who\":3,\"job\":\"a\",\"reason\":77}}\n", "unknown outcome: 77");
        assertMalformed(IN_BATCH + "{\"ANSWER\":{\"who\":3,\n", "line 10");
        assertMalformed(PROVISIONED.replace("\"live\"", "\"lively\""), "line 6", "state", "lively");
        assertMalformed(
                PROVISIONED.replace("\"mostTries\":4", "\"mostTries\":\"4\""), "facts.limits.mostTries", "wrong type");
    }
}
