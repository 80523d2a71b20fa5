package magpiehub.routing;

/** What the list's weight means. */
public enum WeightMeaning {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
}
