package magpiehub.http;

/**
 * Limits on the messages that are read. They bound the memory that one connection can take, whatever its peer sends.
 */
public final class HttpLimits {
    /** Start line and headers of a message together. Larger ones are answered with status 431. */
    static final int MAX_HEAD_BYTES = 16 * 1024;

    /** A body that is read at once, and an event of a streamed one. Larger ones are answered with 413 and 502. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    /** Headers of a message, and trailers of a chunked body: a head of tiny headers costs far more than its bytes. */
    static final int MAX_HEADERS = 100;

    /** The line that begins a chunk: its size in hexadecimal digits and extensions, which are ignored. */
    static final int MAX_CHUNK_LINE_BYTES = 256;

    /** A chunk, unless set otherwise for a connection. No replica sends one so large: its size is corrupt. */
    static final int MAX_CHUNK_BYTES = 4 * MAX_BODY_BYTES;

    private HttpLimits() {}
}
