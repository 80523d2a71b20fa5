package magpiehub.simulator;

/** Thrown where the simulator's input does not follow the wire format; says where in the message. */
final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String location;

    /**
     * A fault of a message or of one of its fields.
     *
     * @param location the message's name, or {@code message.field}; empty if the fault is in no message
     * @param reason what is wrong there
     */
    MalformedMessageException(String location, String reason) {
        super(reason);
        this.location = location;
    }

    /** The message's name, or {@code message.field}; empty if the fault is in no message. */
    String location() {
        return location;
    }
}
