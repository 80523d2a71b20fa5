package magpiehub.http;

import java.io.IOException;

/** Receives the events or lines of a streamed body, each as soon as its last byte has been read. */
@FunctionalInterface
public interface EventHandler {
    /**
     * Handles one event or line. An exception aborts the reading of the body.
     *
     * @param event its bytes, which the handler may keep
     */
    void onEvent(byte[] event) throws IOException, InterruptedException;

    /**
     * Called when further bytes of an event or line have been read that is not complete.
     *
     * @param count their number
     */
    default void onPartialEvent(int count) {}
}
