package magpiehub.routing;

import java.util.List;

/** Builds settings that differ from given ones in some members. */
public final class RoutingSettingsBuilder {
    private final RoutingSettings base;
    private int instanceIndex;
    private int instanceCount;
    private int ownZone;
    private boolean subscribesToEndpoints;
    private WeightMeaning weightMeaning;
    private List<RequestClass> classes;
    private List<Tenant> tenants;
    private RoutingLimits limits;
    private Guarantees guarantees;
    private RoutingCosts costs;

    private RoutingSettingsBuilder(RoutingSettings base) {
        this.base = base;
        this.instanceIndex = base.instanceIndex();
        this.instanceCount = base.instanceCount();
        this.ownZone = base.ownZone();
        this.subscribesToEndpoints = base.subscribesToEndpoints();
        this.weightMeaning = base.weightMeaning();
        this.classes = base.classes();
        this.tenants = base.tenants();
        this.limits = base.limits();
        this.guarantees = base.guarantees();
        this.costs = base.costs();
    }

    public static RoutingSettingsBuilder from(RoutingSettings base) {
        return new RoutingSettingsBuilder(base);
    }

    RoutingSettingsBuilder instance(int index, int count) {
        instanceIndex = index;
        instanceCount = count;
        return this;
    }

    RoutingSettingsBuilder ownZone(int zone) {
        ownZone = zone;
        return this;
    }

    public RoutingSettingsBuilder subscribesToEndpoints(boolean value) {
        subscribesToEndpoints = value;
        return this;
    }

    RoutingSettingsBuilder weightMeaning(WeightMeaning value) {
        weightMeaning = value;
        return this;
    }

    RoutingSettingsBuilder classes(RequestClass... values) {
        classes = List.of(values);
        return this;
    }

    RoutingSettingsBuilder tenants(Tenant... values) {
        tenants = List.of(values);
        return this;
    }

    public RoutingSettingsBuilder limits(RoutingLimits value) {
        limits = value;
        return this;
    }

    RoutingSettingsBuilder guarantees(Guarantees value) {
        guarantees = value;
        return this;
    }

    RoutingSettingsBuilder costs(RoutingCosts value) {
        costs = value;
        return this;
    }

    public RoutingSettings build() {
        return new RoutingSettings(
                instanceIndex,
                instanceCount,
                ownZone,
                base.zoneCount(),
                subscribesToEndpoints,
                base.resumesStreams(),
                weightMeaning,
                base.overQuotaWeight(),
                classes,
                tenants,
                limits,
                guarantees,
                costs);
    }
}
