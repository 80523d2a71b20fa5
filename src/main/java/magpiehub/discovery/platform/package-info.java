/**
 * The client of the platform's own discovery service, which serves the endpoint list over HTTP. {@link
 * magpiehub.discovery.platform.PlatformDiscovery} is the actor; {@code WatchScheduler} is the I/O-free state machine
 * that decides which calls are open.
 */
package magpiehub.discovery.platform;
