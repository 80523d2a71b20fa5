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
    private static final double MAX_SHED_FRACTION = 0.8;

    /** Factor by which arrivals of earlier periods are multiplied after each period. */
    private static final double ARRIVAL_DECAY = 0.9;

    /**
     * A router that has sent no attempt for this time sheds nothing: only answers can show that the overload is over.
     */
    private static final long MAX_IDLE_MICROS = 2_000_000;

    /** Lower bound of the mean answer time that a value is divided by. */
    private static final long MIN_ANSWER_MICROS = 50_000;

    private final ActiveSettings settings;
    private final OverloadDetector overload;
    private final LatencyEstimator latencies;
    private final TrafficMeter traffic;
    private final TenantQuotas quotas;
    private final SplitMix64 random;
    private double shedFraction;
    // Two buckets per class: requests within their tenant's quota, then requests over it.
    private double[] arrivals = {};
    private double[] shedFractionByBucket = {};

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
        shedFractionByBucket = Arrays.copyOf(shedFractionByBucket, buckets);
        quotas.resize();
    }

    /** Returns whether a request is admitted. Its class must be valid. */
    boolean admit(RoutingRequest request, long now) {
        int bucket = 2 * request.classIndex() + (quotas.isOverQuota(request.tenantIndex(), now) ? 1 : 0);
        arrivals[bucket]++;
        return request.continuation()
                || shedFractionByBucket[bucket] <= 0
                || now - traffic.lastAttemptAt() >= MAX_IDLE_MICROS
                || random.nextDouble() >= shedFractionByBucket[bucket];
    }

    /** Adapts the shed fraction to the answers of the period that ends. */
    void adjust() {
        shedFraction = overload.needsLoadShedding()
                ? Math.min(MAX_SHED_FRACTION, shedFraction + STEP_UP)
                : Math.max(0, shedFraction - STEP_DOWN);
        distributeShedding();
        for (int bucket = 0; bucket < arrivals.length; bucket++) {
            arrivals[bucket] *= ARRIVAL_DECAY;
        }
    }

    /** Distributes the load to be shed over the buckets, from the lowest value rate upwards. */
    private void distributeShedding() {
        Arrays.fill(shedFractionByBucket, 0);
        double remaining = shedFraction * Arrays.stream(arrivals).sum();
        while (remaining > 0) {
            int lowest = lowestValueUnshedBucket();
            if (lowest < 0) {
                break;
            }
            shedFractionByBucket[lowest] = arrivals[lowest] <= 0 ? 1 : Math.min(1, remaining / arrivals[lowest]);
            remaining -= arrivals[lowest];
        }
    }

    /** Returns the bucket with the lowest value rate of those that are not shed, -1 if all are. */
    private int lowestValueUnshedBucket() {
        int lowest = -1;
        for (int bucket = 0; bucket < 2 * settings.get().classes().size(); bucket++) {
            if (shedFractionByBucket[bucket] == 0 && (lowest < 0 || valueRate(bucket) < valueRate(lowest))) {
                lowest = bucket;
            }
        }
        return lowest;
    }

    /** Returns the value of a request of the bucket per service time. */
    private double valueRate(int bucket) {
        int classIndex = bucket / 2;
        boolean isOverQuota = bucket % 2 == 1;
        return settings.get().classes().get(classIndex).priorityWeight()
                * (isOverQuota ? settings.get().overQuotaWeight() : 1)
                / Math.max(MIN_ANSWER_MICROS, latencies.meanCompleteAnswer(classIndex));
    }
}
