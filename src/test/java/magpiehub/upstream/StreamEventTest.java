package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiehub.dispatch.RequestDispatcher;
import org.junit.jupiter.api.Test;

class StreamEventTest {
    @Test
    void anErrorIsRecognizedByTheEventNameOrTheStartOfItsData() {
        assertTrue(StreamEvent.isError(bytes("event: error\ndata: {}\n\n")));
        assertTrue(StreamEvent.isError(bytes("id: 1\nevent: error\n\n")));
        assertTrue(StreamEvent.isError(bytes("data: { \"error\" : {}}\n\n")));
    }

    @Test
    void theWordErrorInGeneratedTextIsNotAnError() {
        assertFalse(StreamEvent.isError(bytes("data: {\"choices\":[{\"text\":\"an error\"}]}\n\n")));
        assertFalse(StreamEvent.isError(bytes("data: {\"choices\":[],\"error\":null}\n\n")));
    }

    @Test
    void cachedTokensAreReadFromTheUsage() {
        String usage = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":17}}}\n\n";
        assertEquals(17, StreamEvent.cachedTokens(bytes(usage)));
    }

    @Test
    void cachedTokensAreUnknownWithoutAUsage() {
        long unknown = RequestDispatcher.CACHED_TOKENS_UNKNOWN;
        assertEquals(unknown, StreamEvent.cachedTokens(bytes("data: {\"choices\":[]}\n\n")));
        assertEquals(unknown, StreamEvent.cachedTokens(bytes("data: say \"cached_tokens\"\n\n")));
    }

    @Test
    void commentsAndChatCompletionEventsAreKnown() {
        assertTrue(StreamEvent.isKnown(bytes("")));
        assertTrue(StreamEvent.isKnown(bytes(": comment\n\n")));
        assertTrue(StreamEvent.isKnown(bytes("data: {\"choices\":[]}\n\n")));
        assertTrue(StreamEvent.isKnown(bytes("data: [DONE]\n\n")));
        assertFalse(StreamEvent.isKnown(bytes("data: bye\n\n")));
    }

    @Test
    void anExcerptHasAtMost120Bytes() {
        assertEquals("data: x", StreamEvent.excerpt(bytes("data: x\n\n")));
        assertEquals(120, StreamEvent.excerpt(bytes("x".repeat(121))).length());
    }

    private static byte[] bytes(String event) {
        return event.getBytes(UTF_8);
    }
}
