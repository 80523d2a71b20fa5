package magpiehub.http;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;

/** A growable byte array. */
final class ByteAccumulator {
    private static final int INITIAL_BYTES = 512;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    int length() {
        return length;
    }

    void append(int value) {
        ensureCapacity(length + 1);
        bytes[length++] = (byte) value;
    }

    void append(byte[] source, int offset, int count) {
        ensureCapacity(length + count);
        System.arraycopy(source, offset, bytes, length, count);
        length += count;
    }

    private void ensureCapacity(int capacity) {
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, capacity));
        }
    }

    /** Whether the last line end, LF or CR LF, directly follows another one. */
    boolean endsWithBlankLine() {
        return (length >= 2 && bytes[length - 2] == '\n')
                || (length >= 4 && bytes[length - 2] == '\r' && bytes[length - 3] == '\n');
    }

    /** Returns the bytes and clears the array. */
    byte[] take() {
        byte[] taken = Arrays.copyOf(bytes, length);
        length = 0;
        return taken;
    }

    void writeTo(OutputStream out, int offset, int count) throws IOException {
        out.write(bytes, offset, count);
    }

    void clear() {
        length = 0;
    }
}
