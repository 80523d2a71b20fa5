package magpiehub.admin;

import java.util.Map;
import java.util.Set;

/** Computes the effect of each command as a function of the state, without I/O. */
final class AdminCommandInterpreter {
    private AdminCommandInterpreter() {}

    /** Parses a command line and executes it on a state. */
    static CommandResult execute(MaintenanceState state, String line, CommandContext context) {
        AdminCommand command;
        try {
            command = AdminCommand.parse(line, !context.siteStatus().isEmpty());
        } catch (CommandSyntaxException e) {
            return CommandResult.rejected(state, e.getMessage());
        }
        return execute(state, command, context);
    }

    private static CommandResult execute(MaintenanceState state, AdminCommand command, CommandContext context) {
        String argument = command.argument();
        return switch (command.verb()) {
            case STATUS -> status(state, context);
            case STANDBY -> CommandResult.accepted(state.withStandby(true), "standby");
            case ACTIVE -> CommandResult.accepted(state.withStandby(false), "active");
            case MAINTENANCE_ON -> maintenanceOn(state, argument);
            case MAINTENANCE_OFF -> maintenanceOff(state, argument, context);
            case WITHDRAW_SITE -> withdrawSite(state, argument, context.siteStatus());
            case REINSTATE_SITE -> reinstateSite(state, argument, context.siteStatus());
            case SITE_STATUS -> siteStatus(state, argument, context.siteStatus());
        };
    }

    private static CommandResult status(MaintenanceState state, CommandContext context) {
        if (!context.isReady()) {
            return CommandResult.rejected(state, "not ready");
        }
        return CommandResult.query(
                state,
                (state.standby() ? "standby" : "active") + " out="
                        + state.outOfService().size());
    }

    private static CommandResult maintenanceOn(MaintenanceState state, String id) {
        if (!isKnownReplica(state, id)) {
            return unknownReplica(state);
        }
        return CommandResult.accepted(state.withReplicaOutOfService(id), "out " + id);
    }

    private static CommandResult maintenanceOff(MaintenanceState state, String id, CommandContext context) {
        if (!isKnownReplica(state, id)) {
            return unknownReplica(state);
        }
        return CommandResult.accepted(state.withReplicaReturned(id, context.nowUnixMillis()), "back " + id);
    }

    private static boolean isKnownReplica(MaintenanceState state, String id) {
        return state.listedIds().contains(id) || state.outOfService().contains(id);
    }

    private static CommandResult unknownReplica(MaintenanceState state) {
        return CommandResult.rejected(state, "no engine of that id was ever listed");
    }

    private static CommandResult withdrawSite(MaintenanceState state, String name, Map<String, String> siteStatus) {
        if (!siteStatus.containsKey(name)) {
            return unknownSite(state, siteStatus);
        }
        if (!state.withdrawnSites().contains(name) && isLastSite(state, name, siteStatus.keySet())) {
            return CommandResult.rejected(state, "it is the last site that is not out");
        }
        return CommandResult.accepted(state.withSiteWithdrawn(name), "out " + name);
    }

    /** Whether all other sites are withdrawn. */
    private static boolean isLastSite(MaintenanceState state, String name, Set<String> sites) {
        for (String site : sites) {
            if (!site.equals(name) && !state.withdrawnSites().contains(site)) {
                return false;
            }
        }
        return true;
    }

    private static CommandResult reinstateSite(MaintenanceState state, String name, Map<String, String> siteStatus) {
        if (!siteStatus.containsKey(name)) {
            return unknownSite(state, siteStatus);
        }
        return CommandResult.accepted(state.withSiteReinstated(name), "in " + name);
    }

    private static CommandResult siteStatus(MaintenanceState state, String name, Map<String, String> siteStatus) {
        if (name == null) {
            StringBuilder all = new StringBuilder();
            siteStatus.forEach((site, status) -> {
                all.append(all.length() == 0 ? "" : "; ");
                all.append(site).append(' ').append(status);
            });
            return CommandResult.query(state, all.toString());
        }
        if (!siteStatus.containsKey(name)) {
            return unknownSite(state, siteStatus);
        }
        return CommandResult.query(state, name + " " + siteStatus.get(name));
    }

    private static CommandResult unknownSite(MaintenanceState state, Map<String, String> siteStatus) {
        return CommandResult.rejected(
                state, "no site of that name; there are " + String.join(", ", siteStatus.keySet()));
    }
}
