package magpiehub.routing;

import java.util.List;

/** Everything a node is told when it starts. */
public record RoutingSettings(
        int me,
        int instances,
        int myZone,
        int zones,
        boolean subscribe,
        boolean resume,
        WeightMeaning weights,
        double overShareWorth,
        List<RequestClass> classes,
        List<Tenant> tenants,
        RoutingLimits limits,
        Guarantees guarantees,
        RoutingCosts costs) {}
