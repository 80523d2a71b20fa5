package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import magpiehub.routing.RequestClass;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.Tenant;

/** The module's settings, and what the hosts need besides. Times in microseconds. Classes and tenants are
 *  known by their places in the settings; places whose names are not in the two maps have vanished, and
 *  are kept for what is under way. */
public record SiteSettings(
        RoutingSettings settings,
        List<String> zones,
        List<String> kinds,
        long idleClose,
        LoadReportSettings telemetry,
        Map<String, Integer> classes,
        Map<String, Integer> tenants) {
    /** A class's number by its name; -1 if there is none, and the module turns such a request away. */
    public int cls(String name) {
        return classes.getOrDefault(name, -1);
    }

    /** A tenant's number by its name; -1 if there is none. */
    public int tenant(String name) {
        return tenants.getOrDefault(name, -1);
    }

    /** What holds once a later file has come: every class and tenant that this one knows keeps its place,
     *  and one that is new, or another under an old name, takes the next. */
    public SiteSettings followedBy(SiteSettings later) {
        List<RequestClass> cs = new ArrayList<>(settings.classes());
        List<Tenant> ts = new ArrayList<>(settings.tenants());
        RoutingSettings s = later.settings;
        Map<String, Integer> classNames = Config.places(s.classes(), RequestClass::name, cs);
        Map<String, Integer> tenantNames = Config.places(s.tenants(), Tenant::name, ts);
        return new SiteSettings(
                new RoutingSettings(
                        s.me(),
                        s.instances(),
                        s.myZone(),
                        s.zones(),
                        s.subscribe(),
                        s.resume(),
                        s.weights(),
                        s.overShareWorth(),
                        List.copyOf(cs),
                        List.copyOf(ts),
                        s.limits(),
                        s.guarantees(),
                        s.costs()),
                later.zones,
                later.kinds,
                later.idleClose,
                later.telemetry,
                classNames,
                tenantNames);
    }
}
