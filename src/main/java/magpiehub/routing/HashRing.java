package magpiehub.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * An immutable consistent-hash ring. A replica's points depend only on its id, so a replica that joins or leaves moves
 * only its own keys, and all routers have the same ring.
 */
final class HashRing {
    /** Points of a replica of mean size: enough for even shares, few enough for fast rebuilds. */
    private static final int POINTS_PER_REPLICA = 24;

    /** An odd constant that separates the points of a replica. */
    private static final long POINT_STEP = 0x632be59bd9b4e019L;

    private final long[] positions;
    private final Replica[] replicas;
    private final int replicaCount;

    /** Creates a ring on which each replica has points in proportion to its relative size. */
    HashRing(List<Replica> members) {
        replicaCount = members.size();
        List<Map.Entry<Long, Replica>> points = new ArrayList<>();
        for (Replica replica : members) {
            int count = Math.max(1, (int) Math.round(POINTS_PER_REPLICA * replica.relativeSize()));
            for (int point = count; point > 0; point--) {
                points.add(Map.entry(SplitMix64.mix(replica.hash() + point * POINT_STEP), replica));
            }
        }
        points.sort(Map.Entry.comparingByKey());
        positions = new long[points.size()];
        replicas = new Replica[positions.length];
        for (int i = 0; i < positions.length; i++) {
            positions[i] = points.get(i).getKey();
            replicas[i] = points.get(i).getValue();
        }
    }

    int replicaCount() {
        return replicaCount;
    }

    int pointCount() {
        return positions.length;
    }

    /** Returns the replica of a point by its index from 0; indexes wrap around. */
    Replica replicaAt(int point) {
        return replicas[point % replicas.length];
    }

    /** Returns the first point at or after a position; {@link #pointCount()} if the search wraps to the first point. */
    int firstPointFrom(long position) {
        int i = Arrays.binarySearch(positions, position);
        return i >= 0 ? i : -i - 1;
    }

    boolean contains(Replica replica) {
        return Arrays.asList(replicas).contains(replica);
    }
}
