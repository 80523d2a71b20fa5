package magpiehub.http;

/** The head of a message: its request line or status line, and its headers. */
public final class HttpHead {
    private final StartLine startLine;
    private final HttpHeaders headers;

    HttpHead(StartLine startLine, HttpHeaders headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    /** The method of a request. Not for responses. */
    public String method() {
        return ((RequestLine) startLine).method();
    }

    /** The target of a request, exactly as sent. Not for responses. */
    public String target() {
        return ((RequestLine) startLine).target();
    }

    /** The status code of a response. Not for requests. */
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
