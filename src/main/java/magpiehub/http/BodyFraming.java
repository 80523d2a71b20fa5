package magpiehub.http;

/**
 * Where a message's body ends, by its head (RFC 9112, section 6). A head that two implementations could interpret
 * differently is rejected.
 */
public final class BodyFraming {
    /** In place of a length: the body is sent in chunks. */
    static final int CHUNKED = -1;

    /** Longer numbers are malformed, and these fit into a long. */
    private static final int MAX_LENGTH_DIGITS = 15;

    private BodyFraming() {}

    /** The most bytes that a message's body may have: as many as its head says, or the limit if it doesn't say. */
    public static int maxBodyBytes(HttpHead head) throws HttpException {
        int length = contentLength(head, HttpLimits.MAX_BODY_BYTES);
        return length == CHUNKED ? HttpLimits.MAX_BODY_BYTES : length;
    }

    /**
     * The length of a message's body, {@link #CHUNKED}, or 0 if the head doesn't say.
     *
     * @param maxBytes a longer body is answered with status 413
     */
    static int contentLength(HttpHead head, int maxBytes) throws HttpException {
        HttpHeaders headers = head.headers();
        String coding = headers.get("Transfer-Encoding");
        String length = headers.get("Content-Length");
        if (coding != null) {
            checkChunked(headers, coding, length);
            return CHUNKED;
        }
        return length == null ? 0 : parseLength(headers, length, maxBytes);
    }

    private static void checkChunked(HttpHeaders headers, String coding, String length) throws HttpException {
        if (length != null || headers.count("Transfer-Encoding") > 1 || !coding.equalsIgnoreCase("chunked")) {
            throw new HttpException(400, "ambiguous framing");
        }
    }

    private static int parseLength(HttpHeaders headers, String length, int maxBytes) throws HttpException {
        if (headers.count("Content-Length") > 1
                || length.length() > MAX_LENGTH_DIGITS
                || !HttpSyntax.isDigits(length)) {
            throw new HttpException(400, "malformed Content-Length");
        }
        if (Long.parseLong(length) > maxBytes) {
            throw new HttpException(413, "body too large");
        }
        return Integer.parseInt(length);
    }
}
