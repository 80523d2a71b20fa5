package magpiehub.routing;

/** How an endpoint list relates to the earlier ones. The constants' names are part of counter names. */
public enum EndpointListKind {
    /** Only endpoints that changed. */
    CHANGES,
    /** All endpoints; replicas that it does not contain are gone. */
    COMPLETE,
    /** A complete list that was persisted earlier and is used until discovery answers. */
    SAVED,
    /** Discovery could not be reached, or a watch ended; the list is empty. */
    ERROR
}
