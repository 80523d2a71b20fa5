package magpiehub.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Builds responses. */
public final class HttpResponses {
    private static final int MICROS_PER_MILLISECOND = 1000;
    private static final int MILLISECONDS_PER_SECOND = 1000;

    private HttpResponses() {}

    /**
     * Appends a response with its body.
     *
     * @param close whether the connection is closed after the response
     * @param headers additional headers, alternating names and values
     */
    public static void append(
            HttpWriter out, int status, String contentType, byte[] body, boolean close, String... headers) {
        out.append("HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\n");
        out.append("Content-Type: " + contentType + "\r\nContent-Length: " + body.length + "\r\n");
        for (int i = 0; i + 1 < headers.length; i += 2) {
            out.append(headers[i] + ": " + headers[i + 1] + "\r\n");
        }
        out.append(close ? "Connection: close\r\n\r\n" : "\r\n").append(body);
    }

    /**
     * Appends an error response with a JSON body.
     *
     * @param retryAfterMicros when the client may retry; 0 if unknown
     * @param close whether the connection is closed after the response
     */
    public static void appendError(HttpWriter out, int status, String json, long retryAfterMicros, boolean close) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        if (retryAfterMicros > 0) {
            append(out, status, "application/json", body, close, "Retry-After", decimalSeconds(retryAfterMicros));
        } else {
            append(out, status, "application/json", body, close);
        }
    }

    /** Formats seconds with three decimals, rounded up and never zero. */
    private static String decimalSeconds(long micros) {
        long milliseconds = Math.max(1, (micros + MICROS_PER_MILLISECOND - 1) / MICROS_PER_MILLISECOND);
        return milliseconds / MILLISECONDS_PER_SECOND
                + "."
                + String.format(Locale.ROOT, "%03d", milliseconds % MILLISECONDS_PER_SECOND);
    }

    /**
     * Appends the head of a response whose body is a stream of server-sent events.
     *
     * @param close whether the connection is closed after the response
     */
    public static void appendEventStreamHead(HttpWriter out, boolean close) {
        out.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
                + "Transfer-Encoding: chunked\r\n" + (close ? "Connection: close\r\n\r\n" : "\r\n"));
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 529 -> "Overloaded";
            default -> "Status";
        };
    }
}
