package magpiehub.admin;

import java.util.Map;

/**
 * What a command needs to know of the router besides the {@link MaintenanceState}.
 *
 * @param isReady whether this process can serve requests
 * @param nowUnixMillis the time of the command
 * @param siteStatus the status of each site by its name; empty if the router plans for no loss of a site, and then the
 *     commands for sites are unknown
 */
record CommandContext(boolean isReady, long nowUnixMillis, Map<String, String> siteStatus) {}
