package magpiehub.routing;

/** How an endpoint list relates to what is known. The constants' names are part of counter names. */
public enum EndpointListKind {
    /** Only endpoints that changed. */
    CHANGES,
    /** All endpoints; what it lacks is gone. */
    COMPLETE,
    /** A complete list that was stored earlier, used until discovery answers. */
    SAVED,
    /** Discovery could not be reached, or a watch ended; there are no endpoints. */
    ERROR
}
