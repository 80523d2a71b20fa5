package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A range of keys as etcd's requests name it: from {@code start} to {@code end}, the end excluded. */
record EtcdKeyRange(byte[] start, byte[] end) {
    /** All keys that begin with a prefix. */
    static EtcdKeyRange ofPrefix(String prefix) {
        byte[] start = prefix.getBytes(StandardCharsets.UTF_8);
        return new EtcdKeyRange(start, firstKeyBehind(start));
    }

    /** The prefix with its last byte below 0xff increased by one; the byte 0, etcd's open end, if there is none. */
    private static byte[] firstKeyBehind(byte[] prefix) {
        for (int i = prefix.length - 1; i >= 0; i--) {
            if (prefix[i] != (byte) 0xff) {
                byte[] end = Arrays.copyOf(prefix, i + 1);
                end[i]++;
                return end;
            }
        }
        return new byte[] {0};
    }

    /** The rest of this range behind a key. */
    EtcdKeyRange after(byte[] key) {
        return new EtcdKeyRange(Arrays.copyOf(key, key.length + 1), end);
    }

    /** Writes the members of a request that name this range. */
    void write(JsonGenerator generator) throws IOException {
        generator.writeBinaryField("key", start);
        generator.writeBinaryField("range_end", end);
    }
}
