package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class ChunkedDecoderTest {
    private static final String ENCODED = "5\r\nhello\r\n00A;ext=\"1\"\r\n\r\nworld 10\r\n1\n!\n0\r\nT: v\r\n\r\n";
    private static final String DECODED = "hello\r\nworld 10!";

    private static String decode(String input, int... pieceEnds) throws IOException {
        ReadBuffer buffer = PiecewiseInputStream.buffer(input, pieceEnds);
        ChunkedDecoder decoder = new ChunkedDecoder(buffer);
        StringBuilder body = new StringBuilder();
        for (int size = decoder.readChunkSize(); size > 0; size = decoder.readChunkSize()) {
            buffer.ensureAvailable(size, "chunk");
            body.append(new String(buffer.take(size), ISO_8859_1));
            decoder.readChunkEnd();
        }
        assertTrue(buffer.isEmpty());
        return body.toString();
    }

    private static int sizeOf(String line) throws IOException {
        return new ChunkedDecoder(PiecewiseInputStream.buffer(line + "\r\n\r\n")).readChunkSize();
    }

    @Test
    void decodesInputSplitAtAnyTwoPositions() throws IOException {
        for (int first = 1; first < ENCODED.length(); first++) {
            for (int second = first; second < ENCODED.length(); second++) {
                assertEquals(DECODED, decode(ENCODED, first, second));
            }
        }
    }

    @Test
    void aTruncatedBodyThrowsEofException() {
        for (int length = 0; length < ENCODED.length(); length++) {
            String part = ENCODED.substring(0, length);
            assertThrows(EOFException.class, () -> decode(part));
        }
    }

    @Test
    void readsSizes() throws IOException {
        assertEquals(0, sizeOf("0"));
        assertEquals(0xaB, sizeOf("aB"));
        assertEquals(0x10, sizeOf(" 0000000000000010 ; name=value"));
        assertEquals(HttpLimits.MAX_CHUNK_BYTES, sizeOf("100000"));
    }

    @Test
    void rejectsMalformedSizes() {
        for (String size : new String[] {"", ";x", "g", "-1", "+1", "0x1", "1 2", "00000000000000001"}) {
            assertFails(400, "malformed chunk size", () -> sizeOf(size));
        }
        assertFails(400, "chunk size too long", () -> sizeOf("1;" + "x".repeat(HttpLimits.MAX_CHUNK_LINE_BYTES)));
        assertFails(400, "control character in chunk size", () -> sizeOf("1\u0001"));
    }

    @Test
    void rejectsChunksOverTheLimit() throws IOException {
        assertFails(413, "chunk too large", () -> sizeOf("100001"));
        assertFails(413, "chunk too large", () -> sizeOf("ffffffffffffffff"));
        ChunkedDecoder decoder = new ChunkedDecoder(PiecewiseInputStream.buffer("a\r\nb\r\n"));
        decoder.setMaxChunkBytes(10);
        assertEquals(10, decoder.readChunkSize());
        assertFails(413, "chunk too large", decoder::readChunkSize);
    }

    @Test
    void rejectsAChunkThatIsLongerThanItsSize() {
        assertFails(400, "chunk longer than its size", () -> decode("4\r\nhello\r\n0\r\n\r\n"));
        assertFails(400, "chunk end too long", () -> decode("1\r\nhello\r\n0\r\n\r\n"));
    }

    @Test
    void acceptsUpToAHundredTrailers() throws IOException {
        assertEquals("", decode("0\r\n" + "T: v\r\n".repeat(100) + "\r\n"));
        assertFails(431, "trailers too large", () -> decode("0\r\n" + "T: v\r\n".repeat(101) + "\r\n"));
    }
}
