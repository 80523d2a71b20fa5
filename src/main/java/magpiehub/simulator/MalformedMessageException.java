package magpiehub.simulator;

/** Thrown if the simulator's input violates the wire format; carries the location within the message. */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String location;

    /**
     * Creates an exception for a malformed message or field.
     *
     * @param location the message's name, or {@code message.field}; empty if the error is outside any message
     * @param reason a description of the error
     */
    MalformedMessageException(String location, String reason) {
        super(reason);
        this.location = location;
    }

    /** The message's name, or {@code message.field}; empty if the error is outside any message. */
    String location() {
        return location;
    }
}
