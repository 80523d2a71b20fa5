package magpiehub.store;

/** A message that a replica of the store receives. */
sealed interface StoreMessage {
    /** A write made by a replica, with its timestamp. */
    record ReplicatedWrite(String key, VersionedValue value) implements StoreMessage {}

    /**
     * A write by an operator. The replica that receives it assigns the timestamp.
     *
     * @param value the new value; null removes the key
     */
    record OperatorWrite(String key, String value) implements StoreMessage {}

    /** Requests all entries on the same connection: {@link ReplicatedWrite}s and then a {@link SnapshotEnd}. */
    record SnapshotRequest() implements StoreMessage {}

    /** All entries have been sent. */
    record SnapshotEnd() implements StoreMessage {}
}
