package magpiehub.routing;

/** What the weight of an endpoint represents. */
public enum WeightMeaning {
    /** Nothing: all replicas have the same size. */
    NONE,
    /** The size that the replica was registered with. */
    NOMINAL,
    /** An estimate of the replica's size. */
    ROUGH,
    /** The current free capacity, which decreases with the load, so the largest value seen is the size. */
    LIVE
}
