package magpiehub.store;

/** A message that a replica of the store receives. */
sealed interface StoreMessage {
    /** The key of the write. */
    String key();

    /** A write made by a replica, with its timestamp. */
    record ReplicatedWrite(String key, VersionedValue value) implements StoreMessage {}

    /**
     * A write by an operator. The replica that receives it assigns the timestamp.
     *
     * @param value the new value; null removes the key
     */
    record OperatorWrite(String key, String value) implements StoreMessage {}
}
