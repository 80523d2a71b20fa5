package magpiehub.routing;

/** A tenant; {@code allowancePerS} is for all nodes together. */
public record Tenant(String name, double share, double quotaPerSecond) {}
