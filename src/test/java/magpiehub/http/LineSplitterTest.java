package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LineSplitterTest {
    private static final int MAX_LINE_BYTES = 5;

    private final List<String> lines = new ArrayList<>();
    private final LineSplitter splitter =
            new LineSplitter(line -> lines.add(new String(line, ISO_8859_1)), MAX_LINE_BYTES);

    private void accept(String piece) throws Exception {
        splitter.accept(piece.getBytes(ISO_8859_1), 0, piece.length());
    }

    @Test
    void splitsAtLineFeedsAlone() throws Exception {
        accept("a\r\n\nb");
        accept("c\nrest");
        assertEquals(List.of("a\r", "", "bc"), lines);
    }

    @Test
    void rejectsALineOverTheLimit() throws Exception {
        accept("12345\n1234");
        accept("5");
        assertFails(502, "line too large", () -> accept("6"));
        assertEquals(List.of("12345"), lines);
    }
}
