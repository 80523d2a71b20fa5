package magpiehub.routing;

import static magpiehub.routing.RoutingPolicyFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which requests are over their tenant's quota. */
class TenantQuotasTest {
    private static TenantQuotas quotas(int instances, Tenant... tenants) {
        return new TenantQuotas(
                new ActiveSettings(RoutingPolicyFixture.settings(instances, true, false, List.of(tenants))), 0);
    }

    private static int withinQuota(TenantQuotas quotas, int tenant, int requests, long now) {
        int within = 0;
        for (int i = 0; i < requests; i++) {
            within += quotas.isOverQuota(tenant, now) ? 0 : 1;
        }
        return within;
    }

    @Test
    void bucketHoldsTheTokensOfTwoSecondsAndTwoMore() {
        TenantQuotas quotas = quotas(1, new Tenant("t", 1, 5));
        assertEquals(12, withinQuota(quotas, 0, 100, 60 * SECOND));
        assertEquals(5, withinQuota(quotas, 0, 100, 61 * SECOND));
    }

    @Test
    void eachRouterAppliesItsShareOfAQuota() {
        TenantQuotas quotas = quotas(10, new Tenant("t", 1, 5));
        assertEquals(3, withinQuota(quotas, 0, 100, 60 * SECOND));
    }

    @Test
    void unknownTenantsAndTenantsWithoutAQuotaAreNeverOverQuota() {
        TenantQuotas quotas = quotas(1, new Tenant("t", 1, 0));
        assertFalse(quotas.isOverQuota(0, SECOND));
        assertFalse(quotas.isOverQuota(-1, SECOND));
        assertFalse(quotas.isOverQuota(1, SECOND));
    }
}
