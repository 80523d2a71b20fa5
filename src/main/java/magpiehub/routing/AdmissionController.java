package magpiehub.routing;

import java.util.Arrays;

/**
 * Sheds load while the fleet is overloaded: the requests with the least value for the time that they take are rejected
 * first. Requests beyond their tenant's quota have little value; the rest of a stream that broke or was migrated is
 * never shed, since most of its work is done.
 */
final class AdmissionController {
    /** Steps of the shed part, up and down, a period, and the most that is shed. */
    private static final double STEP_UP = 0.1;

    private static final double STEP_DOWN = 0.05;
    private static final double MAX_SHED_PART = 0.8;

    /** What arrivals of earlier periods weigh after each period. */
    private static final double ARRIVAL_DECAY = 0.9;

    /** A router that has sent nothing for so long (us) sheds nothing: answers alone tell of the end of overload. */
    private static final long MAX_IDLE_MICROS = 2_000_000;

    /** The least mean time of an answer that a value is divided by, in microseconds. */
    private static final long SHORTEST_ANSWER_MICROS = 50_000;

    private final ActiveSettings settings;
    private final OverloadDetector overload;
    private final LatencyEstimator latencies;
    private final TrafficMeter traffic;
    private final TenantQuotas quotas;
    private final SplitMix64 random;
    private double shedPart;
    // Two buckets for each class: requests within, then those over their tenants' quotas.
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

    /** Makes room for the classes and tenants of new settings. */
    void resize() {
        int buckets = 2 * Math.max(1, settings.get().classes().size());
        arrivals = Arrays.copyOf(arrivals, buckets);
        shedPartOfBucket = Arrays.copyOf(shedPartOfBucket, buckets);
        quotas.resize();
    }

    /** Whether a request is admitted; its class must be known. */
    boolean admit(RoutingRequest request, long now) {
        int bucket = 2 * request.classIndex() + (quotas.isOverQuota(request.tenantIndex(), now) ? 1 : 0);
        arrivals[bucket]++;
        return request.continuation()
                || shedPartOfBucket[bucket] <= 0
                || now - traffic.lastAttemptAt() >= MAX_IDLE_MICROS
                || random.nextDouble() >= shedPartOfBucket[bucket];
    }

    /** Adapts the part that is shed to the answers of the period that ends. */
    void adjust() {
        shedPart = overload.needsLoadShedding()
                ? Math.min(MAX_SHED_PART, shedPart + STEP_UP)
                : Math.max(0, shedPart - STEP_DOWN);
        distributeShedding();
        for (int bucket = 0; bucket < arrivals.length; bucket++) {
            arrivals[bucket] *= ARRIVAL_DECAY;
        }
    }

    /** Spends the shed part on the buckets, from the least value upwards. */
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

    /** -1 if all buckets are shed. */
    private int leastValuableUnshedBucket() {
        int least = -1;
        for (int bucket = 0; bucket < 2 * settings.get().classes().size(); bucket++) {
            if (shedPartOfBucket[bucket] == 0 && (least < 0 || valueRate(bucket) < valueRate(least))) {
                least = bucket;
            }
        }
        return least;
    }

    /** Value of a bucket's request for the time that it takes. */
    private double valueRate(int bucket) {
        int classIndex = bucket / 2;
        boolean isOverQuota = bucket % 2 == 1;
        return settings.get().classes().get(classIndex).priorityWeight()
                * (isOverQuota ? settings.get().overQuotaWeight() : 1)
                / Math.max(SHORTEST_ANSWER_MICROS, latencies.meanCompleteAnswer(classIndex));
    }
}
