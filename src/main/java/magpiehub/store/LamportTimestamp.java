package magpiehub.store;

/**
 * The Lamport timestamp of a write. All replicas order writes by it in the same way.
 *
 * @param counter greater than the counter of any write that the replica had received when it made this one
 * @param replica the name of the replica that made the write; orders writes with equal counters
 */
record LamportTimestamp(long counter, String replica) implements Comparable<LamportTimestamp> {
    @Override
    public int compareTo(LamportTimestamp other) {
        int byCounter = Long.compare(counter, other.counter);
        return byCounter != 0 ? byCounter : replica.compareTo(other.replica);
    }
}
