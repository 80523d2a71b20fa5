package magpiehub.routing;

/** What a server list is. */
public enum EndpointListKind {
    CHANGES,
    COMPLETE,
    SAVED,
    ERROR
}
