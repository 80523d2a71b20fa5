package magpiehub.routing;

import java.util.List;

/**
 * What a router is configured with. A reload may change all of it; classes and tenants keep their places, and
 * new ones follow them.
 *
 * @param instanceIndex this router's number among the instances, from 0
 * @param instanceCount how many routers share the fleet
 * @param ownZone the zone that this router runs in
 * @param zoneCount how many zones the fleet spans
 * @param subscribesToEndpoints whether this router has to ask for endpoint lists; otherwise they are pushed to it
 * @param resumesStreams whether clients ask for the rest of a stream that was ended in order
 * @param weightMeaning what the weights of endpoints say
 * @param overQuotaWeight factor on the value of requests beyond their tenant's quota, from 0 to 1
 * @param classes classes of requests, by index
 * @param tenants tenants, by index
 * @param limits what the site permits
 * @param guarantees what every router has to keep to by itself
 * @param costs prices of what takes value away from service
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

    /** Whether an index names a class of these settings. */
    boolean hasClass(int classIndex) {
        return classIndex >= 0 && classIndex < classes.size();
    }

    /** Whether sending to another zone has a price and there is another zone to send to. */
    boolean crossZoneTrafficCosts() {
        return costs.crossZone() > 0 && zoneCount > 1;
    }

    /** Whether each open connection has a price, so that a router does better with few replicas. */
    boolean connectionsCost() {
        return costs.connection() + costs.handshake() > 0;
    }
}
