package magpiehub.routing;

import java.util.Arrays;

/** Token buckets for the tenants' quotas; each router applies its equal share of a quota. */
final class TenantQuotas {
    /** Tokens that a bucket holds in addition to those of two seconds, so that a small quota allows short bursts. */
    private static final double EXTRA_BURST = 2;

    private static final double BURST_SECONDS = 2;
    private static final double MICROS_PER_SECOND = 1e6;

    private final ActiveSettings settings;
    private double[] tokens = {};
    private long refilledAt;

    TenantQuotas(ActiveSettings settings, long now) {
        this.settings = settings;
        refilledAt = now;
        resize();
    }

    /** Adds the tenants of new settings; existing tenants keep their tokens. */
    void resize() {
        tokens = Arrays.copyOf(tokens, settings.get().tenants().size());
    }

    /** Takes a token for a request; returns whether the request is over its tenant's quota. */
    boolean isOverQuota(int tenant, long now) {
        refill(now);
        if (tenant < 0
                || tenant >= tokens.length
                || settings.get().tenants().get(tenant).quotaPerSecond() <= 0) {
            return false;
        }
        return tokens[tenant] < 1 || tokens[tenant]-- < 1;
    }

    private void refill(long now) {
        for (int i = 0; i < tokens.length; i++) {
            double rate = settings.get().tenants().get(i).quotaPerSecond()
                    / settings.get().instanceCount();
            tokens[i] = Math.min(
                    BURST_SECONDS * rate + EXTRA_BURST, tokens[i] + rate * (now - refilledAt) / MICROS_PER_SECOND);
        }
        refilledAt = now;
    }
}
