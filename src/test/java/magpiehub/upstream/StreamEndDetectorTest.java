package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamEndDetectorTest {
    private static final String TEXT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n";
    private static final String FINISH =
            "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
    private static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                DONE,
                "data:[DONE]\r\n\r\n",
                "data: [DONE]",
                ": X-Load-Report: {}\ndata: [DONE]\n\n",
                "event: done\ndata: [DONE]\n\n",
                "data: {}\rdata: [DONE]\r\r"
            })
    void theMarkerIsRecognizedInAllItsForms(String marker) {
        assertEquals(StreamEnd.DONE, endOf(TEXT, marker));
        assertEquals(StreamEnd.DONE, endOf(TEXT, marker, ": X-Load-Report: {}\n\n"));
    }

    @Test
    void aFinishReasonOrTheUsageEndsAStreamWithoutTheMarker() {
        assertEquals(StreamEnd.FINISHED, endOf(TEXT, FINISH));
        assertEquals(StreamEnd.FINISHED, endOf(TEXT, FINISH.replace("\":\"stop", "\" : \"stop")));
        assertEquals(StreamEnd.FINISHED, endOf(TEXT, FINISH, USAGE));
        assertEquals(StreamEnd.FINISHED, endOf(TEXT, USAGE));
        assertEquals(StreamEnd.FINISHED, endOf(TEXT, FINISH.strip()));
        assertEquals(StreamEnd.FINISHED, endOf("{\"choices\":[{\"finish_reason\":\"length\"}]}"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                TEXT,
                "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}}]}\n\n",
                "data: {\"choices\":[{\"delta\":{\"content\":\"finish_reason\"},\"finish_reason\":\"\"}]}\n\n",
                "data: {\"choices\":[{\"delta\":{\"content\":\"[DONE]\"},\"finish_reason\":null}]}\n\n",
                "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}],\"usage\":{}}\n\n",
                "data: [DO",
                "data: {\"choices\":[],\"usa",
                ": a comment\n\n"
            })
    void aStreamWithoutAnEndIsRecognized(String lastEvent) {
        assertEquals(StreamEnd.MISSING, endOf(TEXT, lastEvent));
    }

    @Test
    void aStreamCutBehindItsFinishReasonIsIncomplete() {
        assertEquals(StreamEnd.MISSING, endOf(TEXT, FINISH, "data: {\"choices\":[],\"usage\":{\"pro"));
    }

    @Test
    void aStreamWithoutDataHasNoEnd() {
        assertEquals(StreamEnd.MISSING, endOf());
        assertEquals(StreamEnd.MISSING, endOf(": a comment\n\n"));
    }

    @Test
    void aStreamWithoutMarkerAndFinishReasonsDoesNotTell() {
        assertEquals(StreamEnd.UNKNOWN, endOf("data: x\n\n"));
        assertEquals(StreamEnd.UNKNOWN, endOf("data: {\"seal\":\"q\"}"));
        assertEquals(StreamEnd.UNKNOWN, endOf("data: {\"choices\":[{\"delta\":{\"content\":\"finish_reason\"}}]}\n\n"));
        assertEquals(StreamEnd.MISSING, endOf("data: {\"cho"));
    }

    @Test
    void nothingOfAStreamIsKeptForTheNext() {
        StreamEndDetector detector = new StreamEndDetector();
        detector.record(FINISH.getBytes(UTF_8));
        detector.record(DONE.getBytes(UTF_8));
        detector.reset();
        assertEquals(StreamEnd.MISSING, detector.end());
        detector.record(TEXT.getBytes(UTF_8));
        assertEquals(StreamEnd.MISSING, detector.end());
    }

    @Test
    void theMarkerIsExpectedFromAnUpstreamThatSendsItWithoutException() {
        DoneMarkerHistory history = new DoneMarkerHistory();
        for (int i = 0; i < DoneMarkerHistory.MIN_CONSECUTIVE_STREAMS; i++) {
            assertFalse(history.isExpected("e1"));
            history.record("e1", StreamEnd.DONE);
            history.record("e1", StreamEnd.MISSING);
        }
        assertTrue(history.isExpected("e1"));
        assertFalse(StreamEnd.FINISHED.isComplete(history.isExpected("e1")));
        assertTrue(StreamEnd.FINISHED.isComplete(history.isExpected("e2")));
        history.record("e1", StreamEnd.FINISHED);
        assertFalse(history.isExpected("e1"));
    }

    private static StreamEnd endOf(String... events) {
        StreamEndDetector detector = new StreamEndDetector();
        for (String event : events) {
            detector.record(event.getBytes(UTF_8));
        }
        return detector.end();
    }
}
