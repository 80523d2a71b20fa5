package magpiehub.http;

/** The first line of a response, without its reason phrase. */
record StatusLine(String version, int status) implements StartLine {
    private static final int STATUS_DIGITS = 3;

    /** Parses a status line; a malformed one is an error of the upstream, and is answered with status 502. */
    static StatusLine parse(String line) throws HttpException {
        String[] parts = line.split(" ", 3);
        if (parts.length < 2
                || !parts[0].startsWith("HTTP/1.")
                || parts[1].length() != STATUS_DIGITS
                || !HttpSyntax.isDigits(parts[1])) {
            throw new HttpException(502, "malformed status line");
        }
        return new StatusLine(parts[0], Integer.parseInt(parts[1]));
    }
}
