package magpiehub.admin;

import java.util.HashMap;
import java.util.Map;

/**
 * A parsed operator command, not yet checked against the state.
 *
 * @param verb what to do
 * @param argument the replica id or site name; null if the command has none
 */
record AdminCommand(Verb verb, String argument) {

    /** The arguments that a verb takes. */
    private enum Arguments {
        NONE(0, 0, "takes nothing more"),
        REPLICA_ID(1, 1, "takes one id"),
        SITE_NAME(1, 1, "takes one name"),
        OPTIONAL_SITE_NAME(0, 1, "takes one name or nothing");

        private final int min;
        private final int max;
        private final String requirement;

        Arguments(int min, int max, String requirement) {
            this.min = min;
            this.max = max;
            this.requirement = requirement;
        }
    }

    /** The known commands. Those for sites exist only if site failover is on. */
    enum Verb {
        STATUS("status", Arguments.NONE),
        STANDBY("standby", Arguments.NONE),
        ACTIVE("active", Arguments.NONE),
        MAINTENANCE_ON("maint-on", Arguments.REPLICA_ID),
        MAINTENANCE_OFF("maint-off", Arguments.REPLICA_ID),
        WITHDRAW_SITE("site-out", Arguments.SITE_NAME),
        REINSTATE_SITE("site-in", Arguments.SITE_NAME),
        SITE_STATUS("site-status", Arguments.OPTIONAL_SITE_NAME);

        private static final Map<String, Verb> BY_WORD = new HashMap<>();

        static {
            for (Verb verb : values()) {
                BY_WORD.put(verb.word, verb);
            }
        }

        /** The word that operators type. */
        private final String word;

        private final Arguments arguments;

        Verb(String word, Arguments arguments) {
            this.word = word;
            this.arguments = arguments;
        }

        private boolean isForSites() {
            return arguments == Arguments.SITE_NAME || arguments == Arguments.OPTIONAL_SITE_NAME;
        }
    }

    /**
     * Parses a command line: a verb and its argument, separated by spaces.
     *
     * @param hasSites whether the commands for sites exist
     * @throws CommandSyntaxException if the verb is unknown or the number of arguments is wrong
     */
    static AdminCommand parse(String line, boolean hasSites) throws CommandSyntaxException {
        String[] words = line.strip().split(" +", -1);
        Verb verb = Verb.BY_WORD.get(words[0]);
        if (verb == null || (verb.isForSites() && !hasSites)) {
            throw new CommandSyntaxException(words[0].isEmpty() ? "no call" : unknownCommandMessage(hasSites));
        }
        int count = words.length - 1;
        if (count < verb.arguments.min || count > verb.arguments.max) {
            throw new CommandSyntaxException(verb.word + " " + verb.arguments.requirement);
        }
        return new AdminCommand(verb, count == 0 ? null : words[1]);
    }

    private static String unknownCommandMessage(boolean hasSites) {
        return "unknown call; status, maint-on ID, maint-off ID,"
                + (hasSites ? " site-out NAME, site-in NAME, site-status," : "")
                + " standby and active are known";
    }
}
