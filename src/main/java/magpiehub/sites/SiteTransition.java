package magpiehub.sites;

/**
 * One change of a site's state.
 *
 * @param site the site's index
 * @param atMicros when it changed
 */
public record SiteTransition(int site, SiteState from, SiteState to, TransitionCause cause, long atMicros) {}
