package magpiehub.http;

/** The first line of a request. */
record RequestLine(String method, String target, String version) implements StartLine {
    private static final int PARTS = 3;

    /**
     * Parses a request line; a malformed one, or one of an unsupported protocol version, is answered with status 400.
     */
    static RequestLine parse(String line) throws HttpException {
        String[] parts = line.split(" ", -1);
        if (parts.length != PARTS
                || !HttpSyntax.isToken(parts[0])
                || parts[1].isEmpty()
                || !isSupportedVersion(parts[2])) {
            throw new HttpException(400, "malformed request line");
        }
        return new RequestLine(parts[0], parts[1], parts[2]);
    }

    private static boolean isSupportedVersion(String version) {
        return version.equals("HTTP/1.1") || version.equals("HTTP/1.0");
    }
}
