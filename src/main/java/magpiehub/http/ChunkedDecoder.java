package magpiehub.http;

import java.io.IOException;

/**
 * Reads the framing of chunked bodies (RFC 9112, section 7.1): the size line of each chunk and the line end after its
 * data. The caller reads the data itself, between the two calls.
 */
final class ChunkedDecoder {
    private static final int HEXADECIMAL = 16;
    private static final int MAX_SIZE_DIGITS = 16;
    private static final int MAX_LINE_END_BYTES = 2;

    private final ReadBuffer buffer;
    private int maxChunkBytes = HttpLimits.MAX_CHUNK_BYTES;

    ChunkedDecoder(ReadBuffer buffer) {
        this.buffer = buffer;
    }

    /** Sets the size above which a chunk is answered with status 413. */
    void setMaxChunkBytes(int maxBytes) {
        maxChunkBytes = maxBytes;
    }

    /** Reads the size of the next chunk; 0 at the end of the body, after reading the trailers. */
    int readChunkSize() throws IOException {
        String line = buffer.readLine(HttpLimits.MAX_CHUNK_LINE_BYTES, 400, "chunk size");
        int semicolon = line.indexOf(';');
        int size = parseSize((semicolon < 0 ? line : line.substring(0, semicolon)).strip());
        if (size == 0) {
            skipTrailers();
        }
        return size;
    }

    private int parseSize(String digits) throws HttpException {
        if (digits.isEmpty() || digits.length() > MAX_SIZE_DIGITS) {
            throw new HttpException(400, "malformed chunk size");
        }
        long size = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            int digit = Character.digit(c, HEXADECIMAL);
            // Character.digit also accepts the full-width digits of Unicode.
            if (digit < 0 || c > 'f') {
                throw new HttpException(400, "malformed chunk size");
            }
            size = size * HEXADECIMAL + digit;
            if (size > maxChunkBytes) {
                // Checked after each digit, so that the number can't overflow.
                throw new HttpException(413, "chunk too large");
            }
        }
        return (int) size;
    }

    private void skipTrailers() throws IOException {
        for (int i = 0;
                !buffer.readLine(HttpLimits.MAX_HEAD_BYTES, 431, "trailer").isEmpty();
                i++) {
            if (i >= HttpLimits.MAX_HEADERS) {
                throw new HttpException(431, "trailers too large");
            }
        }
    }

    /** Reads the line end after a chunk's data. */
    void readChunkEnd() throws IOException {
        if (!buffer.readLine(MAX_LINE_END_BYTES, 400, "chunk end").isEmpty()) {
            throw new HttpException(400, "chunk longer than its size");
        }
    }
}
