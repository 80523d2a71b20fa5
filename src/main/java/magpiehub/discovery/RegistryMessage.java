package magpiehub.discovery;

import java.io.IOException;

/** A message to the actor of {@link RegistryClient}. */
sealed interface RegistryMessage {
    /** The dispatcher requested the list. */
    record ListRequested() implements RegistryMessage {}

    /** The operators changed which endpoints are in maintenance. */
    record MaintenanceChanged(MaintenanceUpdate update) implements RegistryMessage {}

    /** The settings file changed. */
    record SettingsChanged(DiscoverySettings settings) implements RegistryMessage {}

    /** The client must cancel its calls and end its threads. */
    record StopRequested() implements RegistryMessage {}

    /** A call has reported an event. */
    record CallEventReceived(RegistryCall call, RegistryCallEvent event) implements RegistryMessage {}

    /** A call has ended; {@code failure} is null if it succeeded. */
    record CallEnded(RegistryCall call, IOException failure) implements RegistryMessage {}
}
