package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final List<String> events = new ArrayList<>();
    private final EventSplitter splitter = new EventSplitter(event -> events.add(new String(event, ISO_8859_1)));

    private void accept(String piece) throws Exception {
        // The piece is in the middle of an array, as in a connection's buffer.
        byte[] array = ("before" + piece + "behind").getBytes(ISO_8859_1);
        splitter.accept(array, "before".length(), piece.length());
    }

    private List<String> takeEvents() {
        List<String> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    @Test
    void splitsAtBlankLinesRegardlessOfPieceBoundaries() throws Exception {
        List<String> expected = List.of("data: 1\n\n", "event: x\r\ndata: 2\r\n\r\n", ": comment\n\n");
        String body = String.join("", expected);
        for (int first = 0; first <= body.length(); first++) {
            for (int second = first; second <= body.length(); second++) {
                accept(body.substring(0, first));
                accept(body.substring(first, second));
                accept(body.substring(second));
                assertEquals(expected, takeEvents());
            }
        }
    }

    @Test
    void anEventIsHandledAsSoonAsItsLastByteArrives() throws Exception {
        accept("data: 1\n");
        assertEquals(List.of(), takeEvents());
        accept("\n");
        assertEquals(List.of("data: 1\n\n"), takeEvents());
    }

    @Test
    void lineEndsMayBeMixed() throws Exception {
        accept("data: 1\r\n\ndata: 2\n\r\ndata: 3\r\n\r\n");
        assertEquals(List.of("data: 1\r\n\n", "data: 2\n\r\n", "data: 3\r\n\r\n"), takeEvents());
    }

    @Test
    void finishHandlesAnEventWithoutItsBlankLine() throws Exception {
        accept("data: 1\n\ndata: 2\n");
        splitter.finish();
        assertEquals(List.of("data: 1\n\n", "data: 2\n"), takeEvents());
        splitter.finish();
        assertEquals(List.of(), takeEvents());
    }

    @Test
    void rejectsAnEventWhoseFirstLineHasNoColon() {
        assertFails(502, "malformed event", () -> accept("1f\r\ndata: 1\n\n"));
        assertFails(502, "malformed event", () -> accept("\n\n"));
        assertFails(502, "malformed event", () -> {
            accept("no colon");
            splitter.finish();
        });
    }

    @Test
    void rejectsAnEventOverTheLimit() throws Exception {
        String largest = ":" + "x".repeat(HttpLimits.MAX_BODY_BYTES - 1);
        accept(largest);
        assertFails(502, "event too large", () -> accept("x"));
    }
}
