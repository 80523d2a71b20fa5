package magpiehub.discovery;

import java.util.List;

/** What a call to a registry reports: the events of {@link RegistryEventListener} as messages. */
sealed interface RegistryCallEvent {
    /** A watch was opened by a registry at this position. */
    record WatchOpened(ListPosition header) implements RegistryCallEvent {}

    /** The complete list as of a position. */
    record CompleteListRead(ListPosition position, List<ListItem> items) implements RegistryCallEvent {}

    /** All changes up to a position. */
    record ChangesReceived(ListPosition position, List<ListItem> items) implements RegistryCallEvent {}

    /** What the registry had at the position that a watch resumes from. */
    record WatchResumed(ListPosition header, List<ListItem> lastChanged, long count) implements RegistryCallEvent {}

    /** The changes that were requested are no longer available. */
    record Compacted(String reason) implements RegistryCallEvent {}

    /** The result of a position check. */
    record PositionChecked(ListPosition header, long newestRevision, long count) implements RegistryCallEvent {}
}
