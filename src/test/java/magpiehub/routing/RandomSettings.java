package magpiehub.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws random routing settings and reloads of them from a generator that the caller shares. */
final class RandomSettings {
    private static final long SECOND = RoutingPolicyFixture.SECOND;

    private final Random random;

    RandomSettings(Random random) {
        this.random = random;
    }

    /** Draws the settings of a site. */
    RoutingSettings draw() {
        int zones = 1 + random.nextInt(4);
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            classes.add(drawClass("class" + i));
        }
        List<Tenant> tenants = random.nextBoolean()
                ? List.of()
                : List.of(new Tenant("first", 0.5, 1 + random.nextInt(20)), new Tenant("second", 0.5, 0));
        int instances = 1 + random.nextInt(random.nextBoolean() ? 4 : 60);
        boolean hasConnectionCosts = random.nextInt(4) == 0;
        return new RoutingSettings(
                random.nextInt(instances),
                instances,
                random.nextInt(zones),
                zones,
                random.nextBoolean(),
                false,
                WeightMeaning.values()[random.nextInt(WeightMeaning.values().length)],
                random.nextDouble(),
                classes,
                tenants,
                drawLimits(),
                new Guarantees(
                        20_000,
                        (2 + random.nextInt(10)) * SECOND,
                        (5 + random.nextInt(20)) * SECOND,
                        (1 + random.nextInt(3)) * SECOND,
                        1 + 3 * random.nextDouble(),
                        0.1 + 0.5 * random.nextDouble(),
                        SECOND / 2),
                new RoutingCosts(random.nextBoolean() ? 0.03 : 0, 0.05, 0.002, 0.03, hasConnectionCosts ? 0.01 : 0, 0));
    }

    private RequestClass drawClass(String name) {
        return new RequestClass(
                name,
                Idempotency.values()[random.nextInt(3)],
                DeduplicationScope.values()[random.nextInt(3)],
                random.nextInt(3_000_000),
                true,
                100_000 + random.nextInt(900_000),
                random.nextInt(60_000),
                0,
                4 * SECOND,
                60_000,
                1 + random.nextInt(5),
                random.nextDouble());
    }

    private RoutingLimits drawLimits() {
        return new RoutingLimits(
                random.nextInt(4) > 0,
                random.nextInt(4) > 0,
                false,
                random.nextBoolean(),
                true,
                1 + random.nextInt(6),
                1000,
                2 * SECOND,
                SECOND / 4);
    }

    /** Draws a reload: classes and tenants keep their indexes, limits and costs change, a class may be added. */
    RoutingSettings drawReload(RoutingSettings current) {
        RoutingSettings other = draw();
        List<RequestClass> classes = new ArrayList<>(current.classes());
        if (classes.size() < 6) {
            classes.add(drawClass("class" + classes.size()));
        }
        return new RoutingSettings(
                current.instanceIndex(),
                other.instanceCount(),
                current.ownZone(),
                current.zoneCount(),
                current.subscribesToEndpoints(),
                current.resumesStreams(),
                current.weightMeaning(),
                other.overQuotaWeight(),
                classes,
                current.tenants().isEmpty() ? other.tenants() : current.tenants(),
                other.limits(),
                other.guarantees(),
                other.costs());
    }
}
