package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A range of keys in an etcd request.
 *
 * @param start the first key
 * @param end the first key after the range; a single zero byte for a range without an end
 */
record EtcdKeyRange(byte[] start, byte[] end) {
    /** Returns the range of all keys that start with a prefix. */
    static EtcdKeyRange ofPrefix(String prefix) {
        byte[] start = prefix.getBytes(StandardCharsets.UTF_8);
        return new EtcdKeyRange(start, firstKeyAfter(start));
    }

    /**
     * Increments the last byte of a prefix that is below 0xff and drops the bytes after it. If all bytes are 0xff,
     * returns a single zero byte, which etcd reads as an open end.
     */
    private static byte[] firstKeyAfter(byte[] prefix) {
        for (int i = prefix.length - 1; i >= 0; i--) {
            if (prefix[i] != (byte) 0xff) {
                byte[] end = Arrays.copyOf(prefix, i + 1);
                end[i]++;
                return end;
            }
        }
        return new byte[] {0};
    }

    /** Returns the part of this range that follows a key. */
    EtcdKeyRange after(byte[] key) {
        return new EtcdKeyRange(Arrays.copyOf(key, key.length + 1), end);
    }

    /** Writes this range as the members {@code key} and {@code range_end} of a request. */
    void write(JsonGenerator generator) throws IOException {
        generator.writeBinaryField("key", start);
        generator.writeBinaryField("range_end", end);
    }
}
