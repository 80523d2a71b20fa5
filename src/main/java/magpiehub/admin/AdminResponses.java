package magpiehub.admin;

/** Formats the response to a command: one line that begins with the outcome. */
final class AdminResponses {
    private AdminResponses() {}

    /** The response to a command that was carried out, or to a query. */
    static String success(String text) {
        return "SUCCESS " + text;
    }

    /** The response to a command that was rejected or not fully carried out. */
    static String failure(String reason) {
        return "FAILURE " + reason;
    }
}
