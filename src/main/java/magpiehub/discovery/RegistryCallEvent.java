package magpiehub.discovery;

import java.util.List;

/** An event of a call to a registry: the methods of {@link RegistryEventListener} as messages. */
sealed interface RegistryCallEvent {
    /** The registry opened a watch; {@code header} is its current position. */
    record WatchOpened(ListPosition header) implements RegistryCallEvent {}

    /** The complete list as of a position. */
    record CompleteListRead(ListPosition position, List<ListItem> items) implements RegistryCallEvent {}

    /** All changes up to a position; empty if the registry only reports progress. */
    record ChangesReceived(ListPosition position, List<ListItem> items) implements RegistryCallEvent {}

    /** The most recently modified entries at the position that a watch resumes from, and the number of entries. */
    record WatchResumed(ListPosition header, List<ListItem> lastChanged, long count) implements RegistryCallEvent {}

    /** The requested changes are not available. */
    record Compacted(String reason) implements RegistryCallEvent {}

    /** The result of a position check. */
    record PositionChecked(ListPosition header, long newestRevision, long count) implements RegistryCallEvent {}
}
