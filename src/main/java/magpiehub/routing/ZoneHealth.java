package magpiehub.routing;

/**
 * The health of the fleet's zones from one router's point of view. The routing policy queries it before sending and
 * reports the evidence of attempts and health checks; the policy selects the replica within a zone.
 * {@link ConnectFailureZoneHealth} is the default implementation. An implementation that plans for the loss of a zone
 * returns true from {@link #plansFailover()} and then also schedules trials and health checks.
 *
 * <p>All methods are called on the policy's thread. Times are in microseconds.
 */
public interface ZoneHealth {

    /** Sets the number of zones, which never decreases. */
    void setZoneCount(int zones);

    /**
     * Records evidence from an attempt or a health check.
     *
     * @param took time since the attempt or health check was sent
     * @param ratio its time to first token relative to the mean, 1 if none was measured
     */
    void recordEvidence(long now, int zone, String replica, ZoneEvidence evidence, long took, double ratio);

    /** Discards the evidence about a replica that restarted, is gone, or is reachable again. */
    void forgetReplica(String replica);

    /** Sets the number of replicas of a zone that accept requests according to the endpoint list. */
    void setReplicaCount(long now, int zone, int live);

    /**
     * Returns whether a zone accepts a request now. A recovering zone accepts a growing fraction of its usual traffic.
     *
     * @param position the request's position in that traffic, from 0 to 1; the same for a whole conversation
     */
    boolean accepts(long now, int zone, double position);

    /** Returns since when the zone gets only trials; {@link Long#MAX_VALUE} if it is not closed. */
    default long closedSince(int zone) {
        return Long.MAX_VALUE;
    }

    /** Returns whether a trial is due at a closed zone and, if so, counts it as sent. */
    default boolean acquireTrial(long now, int zone) {
        return false;
    }

    /** Returns how many health checks of the zone are due, and counts them as sent. */
    default int acquireHealthChecks(int zone) {
        return 0;
    }

    /** Returns whether it plans for the loss of a zone: the policy then reports silence and sends trials and checks. */
    default boolean plansFailover() {
        return false;
    }

    /** Advances the time; called periodically. */
    default void advance(long now) {}
}
