package magpiehub.admin;

/** A command line is not a known verb with the arguments it takes. The message is meant for the operator. */
final class CommandSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    CommandSyntaxException(String reason) {
        super(reason);
    }
}
