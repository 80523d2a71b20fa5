package magpiehub.store;

/** What a replica of the store receives. */
sealed interface StoreMessage {
    /** The key that is written. */
    String key();

    /** A write that some replica has made, with its timestamp. */
    record ReplicatedWrite(String key, VersionedValue value) implements StoreMessage {}

    /**
     * A write by an operator, which gets its timestamp from the replica that receives it.
     *
     * @param value null removes the key
     */
    record OperatorWrite(String key, String value) implements StoreMessage {}
}
