package magpiehub.sites;

/**
 * A change of a site's state.
 *
 * @param site the index of the site
 * @param atMicros the time of the change, in microseconds of the router's clock
 */
public record SiteTransition(int site, SiteState from, SiteState to, TransitionCause cause, long atMicros) {}
