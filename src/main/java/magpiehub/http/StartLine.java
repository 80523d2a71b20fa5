package magpiehub.http;

/** The first line of a message. */
sealed interface StartLine permits RequestLine, StatusLine {
    /** The protocol version of the sender, such as {@code HTTP/1.1}. */
    String version();
}
