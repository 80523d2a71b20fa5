package magpiehub.protocol;

import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * Gets the events of the upstream's stream that a client is answered with. Called by the upstream connection's actor;
 * does not block.
 */
public interface StreamListener {
    /** An event has come. */
    void onEvent(byte[] event);

    /** The stream is complete. */
    void onEnd();

    /**
     * The stream has failed; nothing follows.
     *
     * @param errorEvent the upstream's error event, or null
     */
    void onFailure(byte[] errorEvent, StreamOutcome outcome);

    /** The stream's flow control. */
    StreamFlow flow();
}
