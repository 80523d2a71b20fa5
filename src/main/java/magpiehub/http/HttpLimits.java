package magpiehub.http;

/** Limits on the messages that are read. They bound the memory of one connection, whatever its peer sends. */
public final class HttpLimits {
    /** Start line and headers of a message together. Larger heads are answered with status 431. */
    static final int MAX_HEAD_BYTES = 16 * 1024;

    /** A body that is read as a whole, and an event of a streamed one. Larger ones are answered with 413 and 502. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    /**
     * Headers of a message, and trailers of a chunked body: a head of tiny headers takes far more memory than its
     * bytes.
     */
    static final int MAX_HEADERS = 100;

    /** The line that begins a chunk: its size in hexadecimal digits, and extensions, which are ignored. */
    static final int MAX_CHUNK_LINE_BYTES = 256;

    /** A chunk, unless set otherwise for a connection. No engine sends a chunk this large; such a size is corrupt. */
    static final int MAX_CHUNK_BYTES = 4 * MAX_BODY_BYTES;

    private HttpLimits() {}
}
