package magpiehub.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.function.Executable;

/** Assertions on failures to read a message. */
final class HttpAssertions {
    private HttpAssertions() {}

    /** Asserts that an action throws an {@link HttpException} with a status and a message. */
    static void assertFails(int status, String message, Executable action) {
        HttpException e = assertThrows(HttpException.class, action);
        assertEquals(status + " " + message, e.status() + " " + e.getMessage());
    }
}
