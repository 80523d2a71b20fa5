package magpiehub.routing;

/**
 * How the zones of the list stand, as one node sees them: what the decision module asks before it sends, and
 * tells after. {@link ConnectFailureZoneHealth} is what holds where nothing else is set: a zone is passed over for a moment once
 * several of its replicas could not be reached. It owns what is known of zones; which replica of one gets a
 * request is the module's. Times in microseconds.
 */
public interface ZoneHealth {

    /** So many zones from now on. */
    void setZoneCount(int zones);

    /** An attempt sent so long ago has told something; {@code ratio} is its first token's time against the
     *  usual, 1 where nothing was measured. */
    void recordEvidence(long now, int zone, String replica, ZoneEvidence sign, long took, double ratio);

    /** A replica is another one under its old name, or gone. */
    void forgetReplica(String replica);

    /** The list names so many replicas of a zone that take work. */
    void setReplicaCount(long now, int zone, int live);

    /** Whether the zone takes what stands at a place, from 0 to 1: of its usual work it takes a part. */
    boolean accepts(long now, int zone, double place);

    /** From when on the zone gets nothing but trials; {@link Long#MAX_VALUE} while it gets more. */
    default long closedSince(int zone) {
        return Long.MAX_VALUE;
    }

    /** Whether one trial is due at a zone that gets nothing else. Asking takes it. */
    default boolean acquireTrial(long now, int zone) {
        return false;
    }

    /** Replicas of the zone to be asked whether they live. Asking takes them. */
    default int acquireHealthChecks(int zone) {
        return 0;
    }

    /** Whether it wants to be told of silence and asked for checks and trials. */
    default boolean plansFailover() {
        return false;
    }

    /** Time has passed. */
    default void advance(long now) {}
}
