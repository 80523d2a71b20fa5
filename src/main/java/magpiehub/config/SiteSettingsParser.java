package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Guarantees;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RequestClass;
import magpiehub.routing.RoutingCosts;
import magpiehub.routing.RoutingLimits;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.Tenant;
import magpiehub.routing.WeightMeaning;

/** Parses the settings that a router's configuration and the simulator's first message both contain. */
public final class SiteSettingsParser {
    private SiteSettingsParser() {}

    /**
     * Parses a settings object. Unknown keys are ignored. Settings that only a router requires are checked by
     * {@link RouterConfigurationReader}.
     *
     * @throws ConfigurationException if a value has the wrong type or is not among those that its key allows
     */
    public static SiteSettings parse(ConfigurationObject settings) {
        List<RequestClass> classes = requestClasses(settings);
        List<Tenant> tenants = tenants(settings);
        ConfigurationObject limits = settings.object(SettingsKeys.LIMITS);
        return new SiteSettings(
                routing(settings, limits, classes, tenants),
                settings.texts(SettingsKeys.ZONES),
                settings.texts(SettingsKeys.MACHINE_TYPES),
                limits.millisAsMicros(SettingsKeys.IDLE_CLOSE_MS, SettingsKeys.DEFAULT_IDLE_CLOSE_MS),
                loadReports(settings.object(SettingsKeys.TELEMETRY)),
                StableIndexes.assign(classes, RequestClass::name, new ArrayList<>(classes)),
                StableIndexes.assign(tenants, Tenant::name, new ArrayList<>(tenants)));
    }

    private static List<RequestClass> requestClasses(ConfigurationObject settings) {
        ConfigurationObject languageModels = settings.object(SettingsKeys.LANGUAGE_MODELS);
        List<Double> objectivesPer1000 =
                languageModels.numbers(SettingsKeys.LATENCY_OBJECTIVES_PER_1000_PROMPT_TOKENS_MICROS);
        List<Double> tokenIntervals = languageModels.numbers(SettingsKeys.TOKEN_INTERVAL_OBJECTIVES_MS);
        List<RequestClass> classes = new ArrayList<>();
        for (ConfigurationObject requestClass : settings.objects(SettingsKeys.CLASSES)) {
            int index = classes.size();
            long objectivePer1000Micros = index < objectivesPer1000.size()
                    ? objectivesPer1000.get(index).longValue()
                    : 0;
            long tokenIntervalMicros =
                    index < tokenIntervals.size() ? Milliseconds.toMicros(tokenIntervals.get(index)) : 0;
            classes.add(requestClass(requestClass, objectivePer1000Micros, tokenIntervalMicros));
        }
        return classes;
    }

    private static RequestClass requestClass(
            ConfigurationObject settings, long objectivePer1000Micros, long tokenIntervalMicros) {
        return new RequestClass(
                settings.text(SettingsKeys.NAME, ""),
                idempotency(settings.text(SettingsKeys.IDEMPOTENCY, SettingsKeys.IDEMPOTENCY_PURE)),
                deduplicationScope(
                        settings.text(SettingsKeys.DEDUPLICATION_SCOPE, SettingsKeys.DEDUPLICATION_SCOPE_ALL)),
                settings.millisAsMicros(SettingsKeys.DEDUPLICATION_WINDOW_MS, 0),
                settings.flag(SettingsKeys.STREAM, false),
                settings.millisAsMicros(SettingsKeys.LATENCY_OBJECTIVE_MS, 0),
                objectivePer1000Micros,
                settings.number(SettingsKeys.LATENCY_OBJECTIVE_STRETCH, 0),
                settings.millisAsMicros(SettingsKeys.DEADLINE_MS, 0),
                tokenIntervalMicros,
                settings.number(SettingsKeys.PRIORITY_WEIGHT, 1),
                settings.number(SettingsKeys.LATE_ANSWER_VALUE, 0));
    }

    private static Idempotency idempotency(String effect) {
        return switch (effect) {
            case SettingsKeys.IDEMPOTENCY_PURE -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "side_effect" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new ConfigurationException(
                    "classes.effect", "must be pure, token or side_effect, but is " + effect);
        };
    }

    private static DeduplicationScope deduplicationScope(String group) {
        return switch (group) {
            case SettingsKeys.DEDUPLICATION_SCOPE_ALL -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new ConfigurationException("classes.group", "must be all, zone or cell, but is " + group);
        };
    }

    private static List<Tenant> tenants(ConfigurationObject settings) {
        List<Tenant> tenants = new ArrayList<>();
        for (ConfigurationObject tenant : settings.objects(SettingsKeys.TENANTS)) {
            tenants.add(new Tenant(
                    tenant.text(SettingsKeys.NAME, ""),
                    tenant.number(SettingsKeys.TENANT_SHARE, 0),
                    tenant.number(SettingsKeys.QUOTA_PER_SECOND, 0)));
        }
        return tenants;
    }

    private static RoutingSettings routing(
            ConfigurationObject settings,
            ConfigurationObject limits,
            List<RequestClass> classes,
            List<Tenant> tenants) {
        ConfigurationObject guarantees = settings.object(SettingsKeys.GUARANTEES);
        ConfigurationObject costs = settings.object(SettingsKeys.COSTS);
        return new RoutingSettings(
                (int) settings.number(SettingsKeys.ROUTER_INDEX, 0),
                Math.max(1, (int) settings.number(SettingsKeys.ROUTER_COUNT, 1)),
                (int) settings.number(SettingsKeys.OWN_ZONE, 0),
                settings.list(SettingsKeys.ZONES).size(),
                settings.text(SettingsKeys.MEMBERSHIP_MODE, SettingsKeys.MEMBERSHIP_AUTOMATIC)
                        .equals(SettingsKeys.MEMBERSHIP_SUBSCRIBE),
                settings.object(SettingsKeys.LANGUAGE_MODELS).flag(SettingsKeys.STREAM_RESUMPTION, false),
                weightMeaning(settings.text(SettingsKeys.WEIGHTS, "none")),
                settings.number(SettingsKeys.OVER_QUOTA_WEIGHT, 1),
                classes,
                tenants,
                limits(limits),
                guarantees(guarantees),
                costs(costs));
    }

    /** Parses the meaning of weights; unknown words mean {@link WeightMeaning#NONE}. */
    private static WeightMeaning weightMeaning(String word) {
        return switch (word) {
            case "nominal" -> WeightMeaning.NOMINAL;
            case "rough" -> WeightMeaning.ROUGH;
            case "live" -> WeightMeaning.LIVE;
            default -> WeightMeaning.NONE;
        };
    }

    private static RoutingLimits limits(ConfigurationObject limits) {
        return new RoutingLimits(
                limits.flag(SettingsKeys.CANCELLATION, false),
                limits.flag(SettingsKeys.HEALTH_CHECKS, false),
                limits.flag(SettingsKeys.PEER_MESSAGES, false),
                limits.flag(SettingsKeys.PARALLEL_ATTEMPTS, false),
                limits.flag(SettingsKeys.RETRY_AFTER, false),
                (int) limits.number(SettingsKeys.MAX_ATTEMPTS, 1),
                (int) limits.number(SettingsKeys.MAX_IN_FLIGHT, SettingsKeys.DEFAULT_MAX_IN_FLIGHT),
                limits.millisAsMicros(SettingsKeys.MAX_RETRY_AFTER_MS, 0),
                limits.millisAsMicros(SettingsKeys.CONNECT_TIMEOUT_MS, SettingsKeys.DEFAULT_CONNECT_TIMEOUT_MS));
    }

    private static Guarantees guarantees(ConfigurationObject guarantees) {
        return new Guarantees(
                guarantees.millisAsMicros(SettingsKeys.ANSWER_SLACK_MS, 0),
                guarantees.millisAsMicros(SettingsKeys.POLL_WITHIN_MS, SettingsKeys.DEFAULT_POLL_WITHIN_MS),
                guarantees.millisAsMicros(SettingsKeys.WARM_UP_MS, 0),
                guarantees.millisAsMicros(SettingsKeys.OVERLOAD_WINDOW_MS, SettingsKeys.DEFAULT_OVERLOAD_WINDOW_MS),
                guarantees.number(SettingsKeys.OVERLOAD_FACTOR, SettingsKeys.DEFAULT_OVERLOAD_FACTOR),
                guarantees.number(SettingsKeys.INITIAL_CAPACITY, 1),
                guarantees.millisAsMicros(SettingsKeys.STOP_SENDING_WITHIN_MS, 0));
    }

    private static RoutingCosts costs(ConfigurationObject costs) {
        return new RoutingCosts(
                costs.number(SettingsKeys.CROSS_ZONE, 0),
                costs.number(SettingsKeys.UNUSED_ATTEMPT, 0),
                costs.number(SettingsKeys.HEALTH_CHECK, 0),
                costs.number(SettingsKeys.LATE_FAILURE, 0),
                costs.number(SettingsKeys.CONNECTION, 0),
                costs.number(SettingsKeys.HANDSHAKE, 0));
    }

    private static LoadReportSettings loadReports(ConfigurationObject telemetry) {
        String source = telemetry.text(SettingsKeys.REPORT_SOURCE, SettingsKeys.REPORT_SOURCE_NONE);
        boolean isKnown = source.equals(SettingsKeys.REPORT_SOURCE_NONE)
                || source.equals(SettingsKeys.REPORT_SOURCE_RESPONSES)
                || source.equals(SettingsKeys.REPORT_SOURCE_HEALTH_CHECKS);
        if (!isKnown) {
            throw new ConfigurationException("telemetry.how", "must be none, answers or probe, but is " + source);
        }
        boolean hasReports = !source.equals(SettingsKeys.REPORT_SOURCE_NONE);
        return new LoadReportSettings(
                hasReports ? telemetry.texts(SettingsKeys.REPORT_FIELDS) : List.of(),
                source.equals(SettingsKeys.REPORT_SOURCE_RESPONSES));
    }
}
