package magpiehub.routing;

import java.util.Arrays;

/**
 * Sheds load while the fleet is overloaded, starting with the requests that have the lowest value per service time.
 * Requests over their tenant's quota have a reduced value. A request that continues a broken or migrated stream is
 * never shed, since most of its work is already done.
 */
final class AdmissionController {
    /** Increase and decrease of the shed fraction per adjustment period, and its upper bound. */
    private static final double STEP_UP = 0.1;

    private static final double STEP_DOWN = 0.05;
    private static final double MAX_SHED_PART = 0.8;

    /** Factor by which arrivals of earlier periods are multiplied after each period. */
    private static final double ARRIVAL_DECAY = 0.9;

    /**
     * A router that has sent no attempt for this time sheds nothing: only answers can show that the overload is over.
     */
    private static final long MAX_IDLE_MICROS = 2_000_000;

    /** Lower bound of the mean answer time that a value is divided by. */
    private static final long SHORTEST_ANSWER_MICROS = 50_000;

    private final ActiveSettings settings;
    private final OverloadDetector overload;
    private final LatencyEstimator latencies;
    private final TrafficMeter traffic;
    private final TenantQuotas quotas;
    private final SplitMix64 random;
    private double shedPart;
    // Two buckets per class: requests within their tenant's quota, then requests over it.
    private double[] arrivals = {};
    private double[] shedPartOfBucket = {};

    AdmissionController(
            ActiveSettings settings,
            OverloadDetector overload,
            LatencyEstimator latencies,
            TrafficMeter traffic,
            SplitMix64 random,
            long now) {
        this.settings = settings;
        this.overload = overload;
        this.latencies = latencies;
        this.traffic = traffic;
        this.random = random;
        quotas = new TenantQuotas(settings, now);
        resize();
    }

    /** Adjusts the number of buckets to the classes and tenants of new settings. */
    void resize() {
        int buckets = 2 * Math.max(1, settings.get().classes().size());
        arrivals = Arrays.copyOf(arrivals, buckets);
        shedPartOfBucket = Arrays.copyOf(shedPartOfBucket, buckets);
        quotas.resize();
    }

    /** Returns whether a request is admitted. Its class must be valid. */
    boolean admit(RoutingRequest request, long now) {
        int bucket = 2 * request.classIndex() + (quotas.isOverQuota(request.tenantIndex(), now) ? 1 : 0);
        arrivals[bucket]++;
        return request.continuation()
                || shedPartOfBucket[bucket] <= 0
                || now - traffic.lastAttemptAt() >= MAX_IDLE_MICROS
                || random.nextDouble() >= shedPartOfBucket[bucket];
    }

    /** Adapts the shed fraction to the answers of the period that ends. */
    void adjust() {
        shedPart = overload.needsLoadShedding()
                ? Math.min(MAX_SHED_PART, shedPart + STEP_UP)
                : Math.max(0, shedPart - STEP_DOWN);
        distributeShedding();
        for (int bucket = 0; bucket < arrivals.length; bucket++) {
            arrivals[bucket] *= ARRIVAL_DECAY;
        }
    }

    /** Distributes the load to be shed over the buckets, from the lowest value rate upwards. */
    private void distributeShedding() {
        Arrays.fill(shedPartOfBucket, 0);
        double left = shedPart * Arrays.stream(arrivals).sum();
        while (left > 0) {
            int least = leastValuableUnshedBucket();
            if (least < 0) {
                break;
            }
            shedPartOfBucket[least] = arrivals[least] <= 0 ? 1 : Math.min(1, left / arrivals[least]);
            left -= arrivals[least];
        }
    }

    /** Returns the bucket with the lowest value rate of those that are not shed, -1 if all are. */
    private int leastValuableUnshedBucket() {
        int least = -1;
        for (int bucket = 0; bucket < 2 * settings.get().classes().size(); bucket++) {
            if (shedPartOfBucket[bucket] == 0 && (least < 0 || valueRate(bucket) < valueRate(least))) {
                least = bucket;
            }
        }
        return least;
    }

    /** Returns the value of a request of the bucket per service time. */
    private double valueRate(int bucket) {
        int classIndex = bucket / 2;
        boolean isOverQuota = bucket % 2 == 1;
        return settings.get().classes().get(classIndex).priorityWeight()
                * (isOverQuota ? settings.get().overQuotaWeight() : 1)
                / Math.max(SHORTEST_ANSWER_MICROS, latencies.meanCompleteAnswer(classIndex));
    }
}
