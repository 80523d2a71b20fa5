package magpiehub.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A consistent-hash ring. A replica's points depend on its id alone, so a replica that joins or leaves moves no key
 * but its own, and all routers have the same ring. It does not change once it is built.
 */
final class HashRing {
    /** Points of a replica of mean size: enough for even shares, few enough to rebuild fast. */
    private static final int POINTS_PER_REPLICA = 24;

    /** An odd constant that spreads a replica's points. */
    private static final long POINT_STEP = 0x632be59bd9b4e019L;

    private final long[] positions;
    private final Replica[] replicas;
    private final int replicaCount;

    /** A ring of replicas, each with points in proportion to its relative size. */
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

    /** The replica of a point, by its index from 0; indexes go on round the ring. */
    Replica replicaAt(int point) {
        return replicas[point % replicas.length];
    }

    /** The first point at or after a position; {@link #pointCount()} if the next one is the ring's first. */
    int firstPointFrom(long position) {
        int i = Arrays.binarySearch(positions, position);
        return i >= 0 ? i : -i - 1;
    }

    boolean contains(Replica replica) {
        return Arrays.asList(replicas).contains(replica);
    }
}
