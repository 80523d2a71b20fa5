package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiehub.dispatch.RequestDispatcher;
import magpiehub.routing.AttemptOutcome;
import magpiehub.streaming.StreamOutcome;
import org.junit.jupiter.api.Test;

class ResponseStateTest {
    private static final byte[] COMMENT = bytes(": X-Load-Report: {}\n\n");
    private static final byte[] EVENT = bytes("data: {\"choices\":[]}\n\n");

    private final ResponseState response = new ResponseState();

    @Test
    void aCommentUpdatesTheReceiveTimeButNotTheEventTime() {
        response.recordEvent(EVENT, false, 10);
        response.markStarted();
        response.recordEvent(COMMENT, false, 20);
        assertEquals(20, response.lastReceivedMicros());
        assertEquals(10, response.lastEventMicros());
    }

    @Test
    void aCommentThatComesFirstCountsAsAnEvent() {
        response.recordEvent(COMMENT, false, 10);
        assertEquals(10, response.lastEventMicros());
    }

    @Test
    void loadReportsAreReadOnlyIfResponsesCarryThem() {
        response.recordEvent(COMMENT, false, 10);
        assertNull(response.loadReport());
        response.recordEvent(COMMENT, true, 20);
        response.recordEvent(EVENT, true, 30);
        assertEquals("{}", response.loadReport());
    }

    @Test
    void anEventWithoutCachedTokensKeepsThePreviousNumber() {
        response.reset();
        assertEquals(RequestDispatcher.CACHED_TOKENS_UNKNOWN, response.cachedTokens());
        String usage = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\n";
        response.recordEvent(bytes(usage), false, 10);
        response.recordEvent(EVENT, false, 20);
        assertEquals(5, response.cachedTokens());
    }

    @Test
    void aStreamIsInProgressFromItsFirstEventToItsEnd() {
        assertFalse(response.isInProgress());
        response.markStarted();
        assertTrue(response.isInProgress());
        response.end(AttemptOutcome.OK);
        assertFalse(response.isInProgress());
        assertTrue(response.hasEnded());
    }

    @Test
    void theFailureReasonDistinguishesErrorStallAndDisconnect() {
        response.end(AttemptOutcome.RESET);
        assertEquals(StreamOutcome.UPSTREAM_DISCONNECTED, response.failureReason());
        response.markStalled();
        assertEquals(StreamOutcome.UPSTREAM_STALLED, response.failureReason());
        response.endWithError(EVENT);
        assertEquals(StreamOutcome.UPSTREAM_ERROR, response.failureReason());
    }

    @Test
    void resetClearsThePreviousResponse() {
        response.recordEvent(COMMENT, true, 10);
        response.markStarted();
        response.markForwarding();
        response.end(AttemptOutcome.OK);
        response.reset();
        assertFalse(response.isStarted());
        assertFalse(response.isForwarding());
        assertFalse(response.hasEnded());
        assertNull(response.loadReport());
        assertNull(response.lastEvent());
    }

    private static byte[] bytes(String event) {
        return event.getBytes(UTF_8);
    }
}
