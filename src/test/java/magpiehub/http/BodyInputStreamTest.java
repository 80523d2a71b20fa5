package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static magpiehub.http.HttpAssertions.assertFails;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import org.junit.jupiter.api.Test;

class BodyInputStreamTest {
    private static final String CHUNKED = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";

    private static BodyInputStream open(ReadBuffer buffer, int contentLength, int maxBytes) {
        return new BodyInputStream(buffer, new ChunkedDecoder(buffer), contentLength, maxBytes);
    }

    private static String readAll(InputStream in) throws IOException {
        return new String(in.readAllBytes(), ISO_8859_1);
    }

    @Test
    void readsChunksSplitAtAnyPosition() throws IOException {
        for (int split = 1; split < CHUNKED.length(); split++) {
            ReadBuffer buffer = PiecewiseInputStream.buffer(CHUNKED + "next", split);
            assertEquals("hello world", readAll(open(buffer, BodyFraming.CHUNKED, 11)));
            buffer.ensureAvailable(4, "next message");
            assertEquals("next", new String(buffer.take(4), ISO_8859_1));
        }
    }

    @Test
    void readsByteByByte() throws IOException {
        BodyInputStream in = open(PiecewiseInputStream.buffer("a\u00ffb"), 2, 2);
        assertEquals('a', in.read());
        assertEquals(0xff, in.read());
        assertEquals(-1, in.read());
    }

    @Test
    void endsAtTheContentLength() throws IOException {
        ReadBuffer buffer = PiecewiseInputStream.buffer("bodynext");
        assertEquals("body", readAll(open(buffer, 4, 10)));
        assertEquals(4, buffer.available());
        assertEquals("", readAll(open(buffer, 0, 10)));
    }

    @Test
    void rejectsChunksOverTheLimitBeforeTheirData() throws IOException {
        BodyInputStream in = open(PiecewiseInputStream.buffer(CHUNKED), BodyFraming.CHUNKED, 10);
        byte[] firstChunk = new byte[5];
        assertEquals(5, in.read(firstChunk, 0, 5));
        assertEquals("hello", new String(firstChunk, ISO_8859_1));
        assertFails(413, "body too large", in::read);
    }
}
