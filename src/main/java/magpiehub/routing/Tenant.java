package magpiehub.routing;

/**
 * A tenant of the fleet.
 *
 * @param name the tenant's name in settings and headers
 * @param share its part of the fleet's service, from 0 to 1
 * @param quotaPerSecond requests a second at full value, over all routers together; 0 if there is no quota
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
