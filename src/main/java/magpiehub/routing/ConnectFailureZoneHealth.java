package magpiehub.routing;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/** A cut is learnt once, not replica by replica. */
public final class ConnectFailureZoneHealth implements ZoneHealth {
    /** A zone is passed over for this long (us) once this many of its replicas could not be reached
     *  within twice that time, and none could. */
    private static final long PAUSE = 1_000_000;

    private static final int FAILURES = 3;
    private long[] failedAt = new long[0];
    private int[] failures = new int[0];
    private final Set<String> unreachable = new HashSet<>();

    @Override
    public void setZoneCount(int zones) {
        failedAt = Arrays.copyOf(failedAt, Math.max(failedAt.length, zones));
        failures = Arrays.copyOf(failures, failedAt.length);
    }

    @Override
    public void recordEvidence(long now, int zone, String replica, ZoneEvidence sign, long took, double ratio) {
        if (sign == ZoneEvidence.NO_CONNECTION) {
            if (unreachable.add(replica)) {
                failures[zone] = now - failedAt[zone] > 2 * PAUSE ? 1 : failures[zone] + 1;
                failedAt[zone] = now;
            }
        } else if (sign == ZoneEvidence.ANSWERED || sign == ZoneEvidence.ERROR) {
            unreachable.remove(replica);
            failures[zone] = 0;
        }
    }

    @Override
    public void forgetReplica(String replica) {
        unreachable.remove(replica);
    }

    @Override
    public void setReplicaCount(long now, int zone, int live) {}

    @Override
    public boolean accepts(long now, int zone, double place) {
        return failures[zone] < FAILURES || now - failedAt[zone] >= PAUSE;
    }
}
