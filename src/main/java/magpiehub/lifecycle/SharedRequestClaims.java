package magpiehub.lifecycle;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.function.LongSupplier;
import magpiehub.dispatch.RequestClaims;

/**
 * The claims of all processes that serve on one listening socket during an upgrade: a hash table in a file that each of
 * them maps into its memory. A slot holds a claim's digest and the second in which it was made, and changes by
 * compare-and-set, so that of two processes that claim an id at the same time one succeeds.
 *
 * <p>A claim that nobody releases, as one of a process that was killed, ends after {@link #RETENTION_SECONDS}.
 */
final class SharedRequestClaims implements RequestClaims {
    /** Longer than a request and its repeats take. */
    static final long RETENTION_SECONDS = 600;

    private static final int SLOTS = 16_384;
    /** Where a claim may be: in its own slot and the ones behind it. */
    private static final int PROBES = 16;

    private static final int SECOND_BITS = 20;
    private static final long SECOND_MASK = (1L << SECOND_BITS) - 1;
    private static final long EMPTY = 0;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;
    private final LongSupplier epochSeconds;
    private final MessageDigest digest;

    private SharedRequestClaims(ByteBuffer table, LongSupplier epochSeconds) {
        this.table = table;
        this.epochSeconds = epochSeconds;
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // Each Java platform has it.
        }
    }

    /** Opens the table in a file, which is created if there is none. */
    static SharedRequestClaims open(Path file, LongSupplier epochSeconds) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            ByteBuffer table = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) SLOTS * Long.BYTES);
            return new SharedRequestClaims(table, epochSeconds);
        }
    }

    @Override
    public boolean tryClaim(String requestId) {
        long hash = hash(requestId);
        while (true) {
            int free = -1;
            for (int probe = 0; probe < PROBES; probe++) {
                int slot = slot(hash, probe);
                long value = read(slot);
                if (!isClaim(value)) {
                    free = free < 0 ? slot : free;
                } else if (isClaimOf(value, hash)) {
                    return false;
                }
            }
            int chosen = free < 0 ? slot(hash, 0) : free;
            long previous = read(chosen);
            boolean unchanged = free < 0 || !isClaim(previous);
            if (unchanged && replace(chosen, previous, hash | now())) {
                return true;
            }
        }
    }

    @Override
    public void release(String requestId) {
        long hash = hash(requestId);
        for (int probe = 0; probe < PROBES; probe++) {
            int slot = slot(hash, probe);
            long value = read(slot);
            if (isClaimOf(value, hash)) {
                replace(slot, value, EMPTY);
            }
        }
    }

    /** The digest of an id, with the bits for the second empty. */
    private long hash(String requestId) {
        byte[] bytes = digest.digest(requestId.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(bytes).getLong() & ~SECOND_MASK;
    }

    private long now() {
        return epochSeconds.getAsLong() & SECOND_MASK;
    }

    private boolean isClaim(long value) {
        return value != EMPTY && ((now() - value) & SECOND_MASK) < RETENTION_SECONDS;
    }

    private static boolean isClaimOf(long value, long hash) {
        return (value & ~SECOND_MASK) == hash;
    }

    private static int slot(long hash, int probe) {
        return (int) (((hash >>> SECOND_BITS) + probe) % SLOTS) * Long.BYTES;
    }

    private long read(int slot) {
        return (long) LONGS.getVolatile(table, slot);
    }

    private boolean replace(int slot, long expected, long value) {
        return LONGS.compareAndSet(table, slot, expected, value);
    }
}
