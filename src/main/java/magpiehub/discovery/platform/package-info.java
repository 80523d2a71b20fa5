/**
 * The client of the platform's own discovery service, which serves the endpoint list over HTTP. {@link
 * magpiehub.discovery.platform.PlatformDiscovery} is the actor; {@code WatchScheduler} decides without I/O
 * which calls are open.
 */
package magpiehub.discovery.platform;
