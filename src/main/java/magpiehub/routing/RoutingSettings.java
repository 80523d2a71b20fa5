package magpiehub.routing;

import java.util.List;

/** Everything a node is told when it starts. */
public record RoutingSettings(
        int instanceIndex,
        int instanceCount,
        int ownZone,
        int zoneCount,
        boolean subscribesToEndpoints,
        boolean resumesStreams,
        WeightMeaning weightMeaning,
        double overQuotaWeight,
        List<RequestClass> classes,
        List<Tenant> tenants,
        RoutingLimits limits,
        Guarantees guarantees,
        RoutingCosts costs) {}
