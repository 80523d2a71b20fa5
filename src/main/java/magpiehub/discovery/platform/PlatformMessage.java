package magpiehub.discovery.platform;

import magpiehub.discovery.MaintenanceUpdate;

/** A message to the actor of {@link PlatformDiscovery}. */
sealed interface PlatformMessage {
    /** The dispatcher has requested a watch. */
    record WatchRequested() implements PlatformMessage {}

    /** The dispatcher has cancelled the watch. */
    record WatchCancelled() implements PlatformMessage {}

    /** The dispatcher has requested the list once. */
    record ListRequested() implements PlatformMessage {}

    /** The address of discovery has changed. */
    record AddressChanged(String address) implements PlatformMessage {}

    /** The operators' maintenance has changed. */
    record MaintenanceChanged(MaintenanceUpdate update) implements PlatformMessage {}

    /** A call has delivered a list or a change. */
    record UpdateReceived(PlatformCall call, PlatformListUpdate update) implements PlatformMessage {}

    /** A call has delivered a heartbeat. */
    record HeartbeatReceived(PlatformCall call) implements PlatformMessage {}

    /**
     * A call has ended.
     *
     * @param malformed whether it ended because its data could not be read
     */
    record CallEnded(PlatformCall call, String reason, boolean malformed) implements PlatformMessage {}
}
