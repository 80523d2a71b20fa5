package magpiehub.admin;

/**
 * The effect of a command on the state, and its response.
 *
 * @param outcome whether the command was accepted
 * @param state the state after the command; the same object as before if nothing changes
 * @param text the response, or the reason for a rejection
 */
record CommandResult(Outcome outcome, MaintenanceState state, String text) {

    /** Whether a command was accepted, and whether it may change the state. */
    enum Outcome {
        REJECTED,
        /** The command only reads the state. */
        QUERY,
        /** The command was accepted. The state is unchanged if the command repeats an earlier one. */
        ACCEPTED
    }

    static CommandResult rejected(MaintenanceState state, String reason) {
        return new CommandResult(Outcome.REJECTED, state, reason);
    }

    static CommandResult query(MaintenanceState state, String response) {
        return new CommandResult(Outcome.QUERY, state, response);
    }

    static CommandResult accepted(MaintenanceState state, String response) {
        return new CommandResult(Outcome.ACCEPTED, state, response);
    }

    boolean isRejected() {
        return outcome == Outcome.REJECTED;
    }

    boolean isQuery() {
        return outcome == Outcome.QUERY;
    }

    /** The response to an accepted command or a query; null if the command was rejected. */
    String response() {
        return isRejected() ? null : text;
    }

    /** Why the command was rejected; null if it was not. */
    String rejection() {
        return isRejected() ? text : null;
    }
}
