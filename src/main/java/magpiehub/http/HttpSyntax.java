package magpiehub.http;

/** Character classes of the HTTP grammar (RFC 9110, section 5.6). */
public final class HttpSyntax {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private HttpSyntax() {}

    /** Whether a text is a token, such as a method or a header name. The empty text is not. */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isTokenCharacter(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isTokenCharacter(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || isDigit(c) || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }

    /** Whether a text is a non-empty sequence of ASCII digits. */
    public static boolean isDigits(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /**
     * Whether a character is a control character, which a start line or header must not contain. The tab is allowed.
     */
    static boolean isControl(char c) {
        return (c < ' ' && c != '\t') || c == 0x7f;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }
}
