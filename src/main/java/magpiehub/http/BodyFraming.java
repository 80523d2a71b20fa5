package magpiehub.http;

/**
 * Determines from a message's head where its body ends (RFC 9112, section 6). A head that two implementations could
 * interpret differently is rejected.
 */
public final class BodyFraming {
    /** Returned in place of a length: the body is chunked. */
    static final int CHUNKED = -1;

    /** Longer numbers are malformed; numbers of this length fit into a long. */
    private static final int MAX_LENGTH_DIGITS = 15;

    private BodyFraming() {}

    /**
     * The maximum size of a message's body: the length given in its head, or the limit if the head does not give one.
     */
    public static int maxBodyBytes(HttpHead head) throws HttpException {
        int length = contentLength(head, HttpLimits.MAX_BODY_BYTES);
        return length == CHUNKED ? HttpLimits.MAX_BODY_BYTES : length;
    }

    /**
     * The length of a message's body, {@link #CHUNKED}, or 0 if the head specifies neither.
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
