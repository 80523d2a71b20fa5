package magpiehub.streaming;

/** A fault injected into a stream. The request id ends with the name of the fault, from which the upstream reads it. */
enum StreamFault {
    NONE,
    /** The client does not read for a while at the start. */
    CLIENT_PAUSES,
    /** The client reads one byte a second. */
    CLIENT_READS_SLOWLY,
    CLIENT_STOPS_READING,
    /** The client closes its connection after some events. */
    CLIENT_CLOSES,
    /** The client resets its connection after some events. */
    CLIENT_RESETS,
    /** The upstream stops sending before the last event with content. */
    SILENT_BEFORE_LAST_TOKEN,
    /** The upstream stops sending before the event with the usage. */
    SILENT_BEFORE_USAGE,
    /** The upstream stops sending before the event that ends the stream. */
    SILENT_BEFORE_DONE,
    /** The upstream sends all events but not the last chunk of the response. */
    SILENT_BEFORE_LAST_CHUNK,
    /** The upstream sends an event byte by byte and never completes it. */
    PARTIAL_EVENT,
    /** The upstream sends comments instead of the remaining events. */
    COMMENTS_ONLY,
    /** The upstream closes its connection before the end. */
    UPSTREAM_DISCONNECTS,
    /** No fault, but events of 100 KB. */
    LARGE_EVENTS;

    /** The fault named in a request id, after its hyphen. */
    static StreamFault ofRequestId(String id) {
        return valueOf(id.substring(id.indexOf('-') + 1));
    }

    /** Whether the client may receive the complete stream despite the fault. */
    boolean allowsCompletion() {
        return this == NONE || this == CLIENT_PAUSES || this == LARGE_EVENTS;
    }
}
