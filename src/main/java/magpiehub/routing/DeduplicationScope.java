package magpiehub.routing;

/** Which servers drop repeats of a keyed request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
