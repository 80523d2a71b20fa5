package magpiehub.routing;

import java.util.List;

/**
 * The configuration of a router. A reload may change all of it; classes and tenants keep their indexes, and new ones
 * are appended.
 *
 * @param instanceIndex index of this router among the instances, from 0
 * @param instanceCount number of routers that share the fleet
 * @param ownZone index of the zone that this router runs in
 * @param zoneCount number of zones of the fleet
 * @param subscribesToEndpoints whether this router must request endpoint lists; otherwise they are pushed to it
 * @param resumesStreams whether clients resume a stream that was ended gracefully
 * @param weightMeaning what the weights of endpoints represent
 * @param overQuotaWeight factor on the value of requests over their tenant's quota, from 0 to 1
 * @param classes classes of requests, by index
 * @param tenants tenants, by index
 * @param limits the site's limits on what a router may do
 * @param guarantees limits that every router observes on its own
 * @param costs costs of resource usage and failures
 */
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
        RoutingCosts costs) {

    /** Returns whether an index belongs to a class of these settings. */
    boolean hasClass(int classIndex) {
        return classIndex >= 0 && classIndex < classes.size();
    }

    /** Returns whether sending to another zone has a cost and there is more than one zone. */
    boolean hasCrossZoneCosts() {
        return costs.crossZone() > 0 && zoneCount > 1;
    }

    /** Returns whether connections have a cost, so that a router should use few replicas. */
    boolean hasConnectionCosts() {
        return costs.connection() + costs.handshake() > 0;
    }
}
