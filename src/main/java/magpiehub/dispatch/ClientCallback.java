package magpiehub.dispatch;

/** The client of one request. Each request gets one of these calls at most, from the module's thread. */
public interface ClientCallback {
    /** Turned away; a retry is harmless, and welcome after so long. */
    void refuse(long retryAfter);

    /** Failed, with no promise. */
    void fail(String why);

    /** A running stream is ended so that its client asks for the rest elsewhere. */
    void move();

    /** Whether it has closed its connection, known from the moment that its end was read. Any thread. */
    boolean gone();
}
