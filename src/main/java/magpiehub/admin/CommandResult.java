package magpiehub.admin;

/**
 * What a command does to the state, and what is answered.
 *
 * @param outcome whether the command was accepted
 * @param state the state after the command; the very same object as before if nothing changes
 * @param text the answer, or the reason for a rejection
 */
record CommandResult(Outcome outcome, MaintenanceState state, String text) {

    /** Whether a command is accepted, and whether it may change the state. */
    enum Outcome {
        REJECTED,
        /** The command only asks; the state is as before. */
        QUERY,
        /** The command is granted; the state may still be as before if the command repeats an earlier one. */
        ACCEPTED
    }

    static CommandResult rejected(MaintenanceState state, String reason) {
        return new CommandResult(Outcome.REJECTED, state, reason);
    }

    static CommandResult query(MaintenanceState state, String answer) {
        return new CommandResult(Outcome.QUERY, state, answer);
    }

    static CommandResult accepted(MaintenanceState state, String answer) {
        return new CommandResult(Outcome.ACCEPTED, state, answer);
    }

    boolean isRejected() {
        return outcome == Outcome.REJECTED;
    }

    boolean isQuery() {
        return outcome == Outcome.QUERY;
    }

    /** The answer to a command that was not rejected; null if it was. */
    String answer() {
        return isRejected() ? null : text;
    }

    /** Why the command was rejected; null if it was accepted. */
    String rejection() {
        return isRejected() ? text : null;
    }
}
