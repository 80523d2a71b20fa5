package magpiehub.streaming;

/** The client's connection of a stream, for the decision of the {@link FlowController} to end it. Any thread. */
public interface StreamClient {
    /** Closes the connection at once, whoever may be blocked in a write to it. Does not block. */
    void disconnect();
}
