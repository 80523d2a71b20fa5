package magpiehub.streaming;

/** The client connection of a stream, which the {@link FlowController} may close. Thread-safe. */
public interface StreamClient {
    /** Closes the connection immediately, even if a thread is blocked in a write to it. Does not block. */
    void disconnect();
}
