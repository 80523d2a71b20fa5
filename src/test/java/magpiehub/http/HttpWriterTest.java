package magpiehub.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpWriterTest {
    private static final int LARGE_BYTES = 100_000;

    private final HttpWriter writer = new HttpWriter();

    /** Records the size of each write. */
    private static final class RecordingOutputStream extends OutputStream {
        private final List<Integer> sizes = new ArrayList<>();

        @Override
        public void write(int value) {
            sizes.add(1);
        }

        @Override
        public void write(byte[] bytes, int offset, int count) {
            sizes.add(count);
        }
    }

    private String take() {
        return new String(writer.take(), UTF_8);
    }

    @Test
    void appendsTextInUtf8AndBytes() {
        writer.append("\u00e9").append("abc".getBytes(UTF_8)).append("xyz".getBytes(UTF_8), 1, 1);
        assertEquals(6, writer.length());
        assertEquals("\u00e9abcy", take());
        assertEquals(0, writer.length());
    }

    @Test
    void aChunkHasItsSizeInHexadecimal() {
        writer.appendChunk("0123456789abcdef".getBytes(UTF_8)).appendLastChunk();
        assertEquals("10\r\n0123456789abcdef\r\n0\r\n\r\n", take());
    }

    @Test
    void anEmptyChunkIsNotWrittenSinceItWouldEndTheBody() {
        writer.appendChunk(new byte[0]);
        assertEquals(0, writer.length());
    }

    @Test
    void growsAndKeepsTheBytesInOrder() {
        byte[] expected = new byte[LARGE_BYTES];
        for (int i = 0; i < LARGE_BYTES; i++) {
            expected[i] = (byte) i;
            writer.append(expected, i, 1);
        }
        assertArrayEquals(expected, writer.take());
    }

    @Test
    void flushWritesOnce() throws IOException {
        RecordingOutputStream out = new RecordingOutputStream();
        writer.append(new byte[LARGE_BYTES]).flushTo(out);
        assertEquals(List.of(LARGE_BYTES), out.sizes);
        assertEquals(0, writer.length());
    }

    @Test
    void flushWithProgressWritesManyBytesInParts() throws IOException {
        RecordingOutputStream out = new RecordingOutputStream();
        List<Integer> writesAtProgress = new ArrayList<>();
        writer.append(new byte[LARGE_BYTES]).flushTo(out, () -> writesAtProgress.add(out.sizes.size()));
        assertEquals(List.of(32768, 32768, 32768, 1696), out.sizes);
        assertEquals(List.of(1, 2, 3), writesAtProgress);
        assertEquals(0, writer.length());
    }

    @Test
    void flushWithProgressWritesFewBytesOnceAndSkipsAnEmptyBuffer() throws IOException {
        RecordingOutputStream out = new RecordingOutputStream();
        writer.flushTo(out, () -> {});
        writer.append(new byte[32768]).flushTo(out, () -> {});
        assertEquals(List.of(32768), out.sizes);
    }
}
