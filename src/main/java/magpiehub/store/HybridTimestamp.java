package magpiehub.store;

/**
 * The timestamp of a write, from the {@link HybridClock} of the replica that made it. All replicas order writes by it
 * in the same way.
 *
 * @param counter greater than the counter of any write that the replica knew when it made this one
 * @param replica the name of the replica that made the write; orders writes with equal counters
 */
record HybridTimestamp(long counter, String replica) implements Comparable<HybridTimestamp> {
    @Override
    public int compareTo(HybridTimestamp other) {
        int byCounter = Long.compare(counter, other.counter);
        return byCounter != 0 ? byCounter : replica.compareTo(other.replica);
    }
}
