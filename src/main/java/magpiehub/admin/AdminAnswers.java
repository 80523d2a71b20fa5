package magpiehub.admin;

/** The form of an answer to a command: one line that begins with its outcome. */
final class AdminAnswers {
    private AdminAnswers() {}

    /** The command was carried out, or the query is answered. */
    static String success(String text) {
        return "SUCCESS " + text;
    }

    /** The command was rejected or not carried out in full; the text says why. */
    static String failure(String reason) {
        return "FAILURE " + reason;
    }
}
