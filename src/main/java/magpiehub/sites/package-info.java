/**
 * Failover between sites, the failure domains that the router configuration calls zones.
 *
 * <p>{@link magpiehub.sites.SiteHealthTracker} is a state machine without I/O: it collects evidence about each site
 * ({@code SiteEvidence}), compares sites with each other ({@code CrossSiteEvidence}), and moves each site through the
 * states of {@link magpiehub.sites.SiteState}. {@link magpiehub.sites.SiteFailover} connects it to the routing
 * policy, the log and operator commands. Site failover is off unless {@code deploy/site.json} exists.
 */
package magpiehub.sites;
