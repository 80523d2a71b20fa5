package magpiehub.routing;

/**
 * How the zones of the fleet stand, as one router sees them. The routing policy asks it before sending and tells it
 * what attempts and health checks show; which replica of a zone gets a request is the policy's choice.
 * {@link ConnectFailureZoneHealth} is the plain implementation. An implementation that plans for the loss of a zone
 * returns true from {@link #plansFailover()} and is then asked for trials and health checks as well.
 *
 * <p>All methods are called on the policy's thread. Times are in microseconds.
 */
public interface ZoneHealth {

    /** The fleet spans so many zones from now on; the number never falls. */
    void setZoneCount(int zones);

    /**
     * Records what an attempt or a health check showed.
     *
     * @param took time since it was sent
     * @param ratio its time to the first token against the usual one, 1 where none was measured
     */
    void recordEvidence(long now, int zone, String replica, ZoneEvidence evidence, long took, double ratio);

    /** Forgets what was recorded of a replica: it restarted, is gone, or can be reached again. */
    void forgetReplica(String replica);

    /** The endpoint list names so many replicas of a zone that take requests. */
    void setReplicaCount(long now, int zone, int live);

    /**
     * Whether a zone accepts a request now. A zone that recovers accepts a growing part of its usual traffic.
     *
     * @param position the request's place in that traffic, from 0 to 1, the same for a whole conversation
     */
    boolean accepts(long now, int zone, double position);

    /** Since when the zone gets nothing but trials; {@link Long#MAX_VALUE} while it gets more. */
    default long closedSince(int zone) {
        return Long.MAX_VALUE;
    }

    /** Whether a trial is due at a zone that gets nothing else; true uses the trial up. */
    default boolean acquireTrial(long now, int zone) {
        return false;
    }

    /** How many replicas of the zone are to be probed now; asking uses them up. */
    default int acquireHealthChecks(int zone) {
        return 0;
    }

    /** Whether it plans for the loss of a zone: it wants silence reported, and trials and health checks made. */
    default boolean plansFailover() {
        return false;
    }

    /** Called periodically with the current time. */
    default void advance(long now) {}
}
