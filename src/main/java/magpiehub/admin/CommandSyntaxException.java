package magpiehub.admin;

/** Thrown if a command line is not a known verb with its arguments. The message is shown to the operator. */
final class CommandSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    CommandSyntaxException(String reason) {
        super(reason);
    }
}
