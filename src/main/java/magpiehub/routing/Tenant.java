package magpiehub.routing;

/**
 * A tenant of the fleet.
 *
 * @param name the tenant's name in settings and headers
 * @param share its fraction of the fleet's capacity, from 0 to 1
 * @param quotaPerSecond requests per second at full value, over all routers together; 0 if there is no quota
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
