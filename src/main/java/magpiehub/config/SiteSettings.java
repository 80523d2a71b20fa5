package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import magpiehub.routing.RequestClass;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.Tenant;

/**
 * The settings of a site, which a router's configuration and the simulator's first message both contain. Immutable.
 *
 * <p>Request classes and tenants are identified by their indexes in {@link #routing}. Entries there that the two index
 * maps don't contain were removed by a reload; they are kept for requests in flight that refer to them.
 *
 * @param routing the settings of the routing policy
 * @param zones the names of the zones; endpoints refer to their zone by its index
 * @param machineTypes the names of the machine types; endpoints refer to theirs by its index
 * @param idleCloseMicros how long an upstream keeps an idle connection open (microseconds)
 * @param loadReports how upstreams report their load
 * @param classIndexes the index of each current request class by its name
 * @param tenantIndexes the index of each current tenant by its name
 */
public record SiteSettings(
        RoutingSettings routing,
        List<String> zones,
        List<String> machineTypes,
        long idleCloseMicros,
        LoadReportSettings loadReports,
        Map<String, Integer> classIndexes,
        Map<String, Integer> tenantIndexes) {
    private static final int NONE = -1;

    /** The index of the request class with this name; -1 if there is none: such requests are rejected. */
    public int classIndex(String name) {
        return classIndexes.getOrDefault(name, NONE);
    }

    /** The request classes of the latest settings, without those that a reload has removed or changed. */
    public List<RequestClass> currentClasses() {
        return classIndexes.values().stream().map(routing.classes()::get).toList();
    }

    /** The index of the tenant with this name; -1 if there is none. */
    public int tenantIndex(String name) {
        return tenantIndexes.getOrDefault(name, NONE);
    }

    /**
     * Returns the settings after a reload: those of the later file, in which all classes and tenants of the current one
     * keep their indexes. A class or tenant that is new, or whose definition has changed, takes the next free index.
     */
    public SiteSettings updatedWith(SiteSettings later) {
        List<RequestClass> classTable = new ArrayList<>(routing.classes());
        List<Tenant> tenantTable = new ArrayList<>(routing.tenants());
        RoutingSettings next = later.routing;
        Map<String, Integer> nextClassIndexes = StableIndexes.assign(next.classes(), RequestClass::name, classTable);
        Map<String, Integer> nextTenantIndexes = StableIndexes.assign(next.tenants(), Tenant::name, tenantTable);
        return new SiteSettings(
                withTables(next, List.copyOf(classTable), List.copyOf(tenantTable)),
                later.zones,
                later.machineTypes,
                later.idleCloseMicros,
                later.loadReports,
                nextClassIndexes,
                nextTenantIndexes);
    }

    private static RoutingSettings withTables(
            RoutingSettings settings, List<RequestClass> classes, List<Tenant> tenants) {
        return new RoutingSettings(
                settings.instanceIndex(),
                settings.instanceCount(),
                settings.ownZone(),
                settings.zoneCount(),
                settings.subscribesToEndpoints(),
                settings.resumesStreams(),
                settings.weightMeaning(),
                settings.overQuotaWeight(),
                classes,
                tenants,
                settings.limits(),
                settings.guarantees(),
                settings.costs());
    }
}
