package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;

class ReadBufferTest {
    private static final int LARGE_BYTES = 100_000;

    private long nowMicros = 100;

    private ReadBuffer buffer(String input, int... pieceEnds) {
        return new ReadBuffer(new PiecewiseInputStream(input, pieceEnds), () -> nowMicros);
    }

    @Test
    void aMessageStartsWithItsFirstByte() throws IOException {
        ReadBuffer buffer = buffer("ab", 1);
        assertTrue(buffer.awaitMessage());
        assertEquals(100, buffer.messageStartMicros());
        nowMicros = 200;
        buffer.ensureAvailable(2, "body");
        assertEquals(100, buffer.messageStartMicros());
        buffer.take(2);
        assertFalse(buffer.awaitMessage());
    }

    @Test
    void aMessageThatExceedsItsTimeoutFails() throws IOException {
        ReadBuffer buffer = buffer("abc", 1, 2);
        buffer.setMessageTimeoutMicros(50);
        buffer.awaitMessage();
        nowMicros = 150;
        buffer.receive("body");
        nowMicros = 151;
        SocketTimeoutException e = assertThrows(SocketTimeoutException.class, () -> buffer.receive("body"));
        assertEquals("too slow in body", e.getMessage());
    }

    @Test
    void endOfStreamErrorNamesWhatWasBeingRead() {
        EOFException e = assertThrows(EOFException.class, () -> buffer("a").ensureAvailable(2, "chunk"));
        assertEquals("connection ended in chunk", e.getMessage());
    }

    @Test
    void growsAndKeepsTheBytesInOrder() throws IOException {
        String input = "first\n" + "x".repeat(LARGE_BYTES) + "last";
        ReadBuffer buffer = buffer(input, 3, 4000, 4001);
        buffer.awaitMessage();
        assertEquals("first", buffer.readLine(10, 400, "line"));
        buffer.ensureAvailable(LARGE_BYTES + 4, "body");
        String rest = new String(buffer.take(LARGE_BYTES + 4), ISO_8859_1);
        assertEquals(input.substring("first\n".length()), rest);
    }

    @Test
    void aLargeBufferIsReleasedBetweenMessages() throws IOException {
        ReadBuffer buffer = buffer("x".repeat(LARGE_BYTES) + "next", LARGE_BYTES);
        buffer.awaitMessage();
        buffer.ensureAvailable(LARGE_BYTES, "body");
        buffer.take(LARGE_BYTES);
        assertTrue(buffer.array().length >= LARGE_BYTES);
        assertTrue(buffer.awaitMessage());
        assertEquals(2048, buffer.array().length);
        assertEquals("next", new String(buffer.take(4), ISO_8859_1));
    }

    @Test
    void acceptsALineUpToTheLimit() throws IOException {
        assertEquals("12345", buffer("12345\n").readLine(5, 431, "line"));
        assertEquals("1234", buffer("1234\r\n").readLine(5, 431, "line"));
        assertFails(431, "line too long", () -> buffer("123456\n").readLine(5, 431, "line"));
        assertFails(431, "line too long", () -> buffer("123456").readLine(5, 431, "line"));
    }
}
