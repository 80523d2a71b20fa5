package magpiehub.http;

/** The head of a message: its request line or status line, and its headers. */
public final class HttpHead {
    private final StartLine startLine;
    private final HttpHeaders headers;

    HttpHead(StartLine startLine, HttpHeaders headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    /** The method of a request; only a request has one. */
    public String method() {
        return ((RequestLine) startLine).method();
    }

    /** The target of a request, as it was sent; only a request has one. */
    public String target() {
        return ((RequestLine) startLine).target();
    }

    /** The status code of a response; only a response has one. */
    public int status() {
        return ((StatusLine) startLine).status();
    }

    /** The headers. */
    public HttpHeaders headers() {
        return headers;
    }

    /** Whether the sender closes the connection after this message. */
    public boolean closesConnection() {
        return headers.containsToken("Connection", "close")
                || (startLine.version().equals("HTTP/1.0") && !headers.containsToken("Connection", "keep-alive"));
    }
}
