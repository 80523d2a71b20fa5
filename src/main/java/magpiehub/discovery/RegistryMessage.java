package magpiehub.discovery;

import java.io.IOException;

/** A message to the actor of {@link RegistryClient}. */
sealed interface RegistryMessage {
    /** The dispatcher wants to know the list. */
    record ListRequested() implements RegistryMessage {}

    /** The operators' maintenance changed. */
    record MaintenanceChanged(MaintenanceUpdate update) implements RegistryMessage {}

    /** The settings file changed. */
    record SettingsChanged(DiscoverySettings settings) implements RegistryMessage {}

    /** The client is to end its calls and threads. */
    record StopRequested() implements RegistryMessage {}

    /** A call has reported something. */
    record CallEventReceived(RegistryCall call, RegistryCallEvent event) implements RegistryMessage {}

    /** A call has ended; {@code failure} is null if it was complete. */
    record CallEnded(RegistryCall call, IOException failure) implements RegistryMessage {}
}
