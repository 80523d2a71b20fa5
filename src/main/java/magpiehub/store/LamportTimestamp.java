package magpiehub.store;

/**
 * When a write was made: a Lamport timestamp, which orders all writes in the same way on every replica.
 *
 * @param counter greater than that of any write that the replica knew when it made this one
 * @param replica the name of the replica that made the write; decides between equal counters
 */
record LamportTimestamp(long counter, String replica) implements Comparable<LamportTimestamp> {
    @Override
    public int compareTo(LamportTimestamp other) {
        int byCounter = Long.compare(counter, other.counter);
        return byCounter != 0 ? byCounter : replica.compareTo(other.replica);
    }
}
