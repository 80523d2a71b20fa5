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

        private final int least;
        private final int most;
        private final String requirement;

        Arguments(int least, int most, String requirement) {
            this.least = least;
            this.most = most;
            this.requirement = requirement;
        }
    }

    /** The known commands. Those for sites exist only if site failover is on. */
    enum Verb {
        STATUS("status", Arguments.NONE),
        STANDBY("standby", Arguments.NONE),
        ACTIVE("active", Arguments.NONE),
        REPLICA_OUT("maint-on", Arguments.REPLICA_ID),
        REPLICA_BACK("maint-off", Arguments.REPLICA_ID),
        SITE_OUT("site-out", Arguments.SITE_NAME),
        SITE_BACK("site-in", Arguments.SITE_NAME),
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
            throw new CommandSyntaxException(words[0].isEmpty() ? "no call" : unknownCommand(hasSites));
        }
        int count = words.length - 1;
        if (count < verb.arguments.least || count > verb.arguments.most) {
            throw new CommandSyntaxException(verb.word + " " + verb.arguments.requirement);
        }
        return new AdminCommand(verb, count == 0 ? null : words[1]);
    }

    private static String unknownCommand(boolean hasSites) {
        return "unknown call; status, maint-on ID, maint-off ID,"
                + (hasSites ? " site-out NAME, site-in NAME, site-status," : "")
                + " standby and active are known";
    }
}
