package magpiehub.routing;

/** Holds the current settings, shared by all components of one policy. A reload replaces them between two events. */
final class ActiveSettings {
    private RoutingSettings settings;

    ActiveSettings(RoutingSettings settings) {
        this.settings = settings;
    }

    RoutingSettings get() {
        return settings;
    }

    void replace(RoutingSettings newSettings) {
        settings = newSettings;
    }
}
