package magpiehub.routing;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * The default zone health: skips a zone for a short time once connections to several of its replicas failed and none
 * succeeded, so that the loss of a network path is detected once instead of replica by replica.
 */
public final class ConnectFailureZoneHealth implements ZoneHealth {
    /** How long a zone is skipped. Failures that are more than twice this time apart count as unrelated. */
    private static final long SKIP_MICROS = 1_000_000;

    /** Number of unreachable replicas, with none reached in between, from which a zone is skipped. */
    private static final int MIN_FAILURES = 3;

    private long[] lastFailureAt = new long[0];
    private int[] failures = new int[0];
    private final Set<String> unreachable = new HashSet<>();

    @Override
    public void setZoneCount(int zones) {
        lastFailureAt = Arrays.copyOf(lastFailureAt, Math.max(lastFailureAt.length, zones));
        failures = Arrays.copyOf(failures, lastFailureAt.length);
    }

    @Override
    public void recordEvidence(long now, int zone, String replica, ZoneEvidence evidence, long took, double ratio) {
        if (evidence == ZoneEvidence.NO_CONNECTION) {
            if (unreachable.add(replica)) {
                failures[zone] = now - lastFailureAt[zone] > 2 * SKIP_MICROS ? 1 : failures[zone] + 1;
                lastFailureAt[zone] = now;
            }
        } else if (evidence == ZoneEvidence.ANSWERED || evidence == ZoneEvidence.ERROR) {
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
    public boolean accepts(long now, int zone, double position) {
        return failures[zone] < MIN_FAILURES || now - lastFailureAt[zone] >= SKIP_MICROS;
    }
}
