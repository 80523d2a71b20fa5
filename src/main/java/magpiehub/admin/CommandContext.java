package magpiehub.admin;

import java.util.Map;

/**
 * The state of the router, besides the {@link MaintenanceState}, that commands depend on.
 *
 * @param isReady whether this process can serve requests
 * @param nowUnixMillis the time of the command
 * @param siteStatus the status of each site by its name; empty if site failover is off, in which case the commands for
 *     sites are unknown
 */
record CommandContext(boolean isReady, long nowUnixMillis, Map<String, String> siteStatus) {}
