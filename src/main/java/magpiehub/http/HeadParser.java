package magpiehub.http;

import java.io.IOException;

/** Parses the heads of the messages on a connection. */
final class HeadParser {
    /** A peer may send superfluous line ends after a body (RFC 9112, section 2.2). */
    private static final int MAX_EMPTY_LINES = 2;

    private static final int LINE_END_BYTES = 2;

    private final ReadBuffer buffer;

    HeadParser(ReadBuffer buffer) {
        this.buffer = buffer;
    }

    /** Reads the head of a request. */
    HttpHead readRequestHead() throws IOException {
        String startLine = readStartLine();
        RequestLine requestLine = RequestLine.parse(startLine);
        return new HttpHead(requestLine, readHeaders(startLine.length(), false));
    }

    /**
     * Reads the head of a response. Its headers may contain control characters: an unreadable load report must not make
     * the response it came with fail. No value that {@link BodyFraming} accepts contains one.
     */
    HttpHead readResponseHead() throws IOException {
        String startLine = readStartLine();
        StatusLine statusLine = StatusLine.parse(startLine);
        return new HttpHead(statusLine, readHeaders(startLine.length(), true));
    }

    private String readStartLine() throws IOException {
        String line = buffer.readLine(HttpLimits.MAX_HEAD_BYTES, 431, "start line");
        for (int i = 0; line.isEmpty() && i < MAX_EMPTY_LINES; i++) {
            line = buffer.readLine(HttpLimits.MAX_HEAD_BYTES, 431, "start line");
        }
        return line;
    }

    private HttpHeaders readHeaders(int startLineBytes, boolean allowControlCharacters) throws IOException {
        HttpHeaders headers = new HttpHeaders();
        int remainingBytes = HttpLimits.MAX_HEAD_BYTES - startLineBytes;
        while (true) {
            String line = readHeaderLine(remainingBytes, allowControlCharacters);
            if (line.isEmpty()) {
                return headers;
            }
            remainingBytes -= line.length() + LINE_END_BYTES;
            addHeader(headers, line, remainingBytes);
        }
    }

    private String readHeaderLine(int maxBytes, boolean allowControlCharacters) throws IOException {
        return allowControlCharacters
                ? buffer.readLineAllowingControlCharacters(maxBytes, 431, "header")
                : buffer.readLine(maxBytes, 431, "header");
    }

    private static void addHeader(HttpHeaders headers, String line, int remainingBytes) throws HttpException {
        int colon = line.indexOf(':');
        // Implementations differ in how they read a folded line (RFC 9112, section 5.2) or a space before the colon.
        if (colon <= 0 || !HttpSyntax.isToken(line.substring(0, colon))) {
            throw new HttpException(400, "malformed header");
        }
        if (remainingBytes <= 0 || headers.size() >= HttpLimits.MAX_HEADERS) {
            throw new HttpException(431, "headers too large");
        }
        headers.add(line.substring(0, colon), line.substring(colon + 1).strip());
    }
}
