package magpiehub.routing;

/** What the weights of endpoints say of a replica's size. */
public enum WeightMeaning {
    /** Nothing: all replicas count as equal. */
    NONE,
    /** The size that the replica was registered with. */
    NOMINAL,
    /** An estimate of its size. */
    ROUGH,
    /** Free capacity at the moment: it falls with the load, so the largest value seen is the size. */
    LIVE
}
