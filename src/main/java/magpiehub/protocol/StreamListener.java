package magpiehub.protocol;

import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/**
 * Receives the events of the upstream's stream that is forwarded to a client. Called by the upstream connection's
 * actor; implementations must not block.
 */
public interface StreamListener {
    /** An event has arrived. */
    void onEvent(byte[] event);

    /** The stream is complete. */
    void onEnd();

    /**
     * The stream has failed; no further calls follow.
     *
     * @param errorEvent the upstream's error event, or null
     */
    void onFailure(byte[] errorEvent, StreamOutcome outcome);

    /**
     * Whether the client loses nothing if the stream ends now: it requests the rest elsewhere, or has all content. May
     * become true during the stream. By default, it loses the rest.
     */
    default boolean mayEndEarly() {
        return false;
    }

    /** The stream's flow control. */
    StreamFlow flow();
}
