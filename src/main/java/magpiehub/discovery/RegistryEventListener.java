package magpiehub.discovery;

import java.io.IOException;
import java.util.List;

/**
 * Receives the events of a call to a registry, on the thread that executes the call.
 *
 * <p>Each event is complete: a truncated page, line or set of changes is never reported. A method may block until its
 * consumer can accept the event.
 */
interface RegistryEventListener {
    /** Called when the registry has opened a watch; {@code header} is its current position. */
    void onWatchOpened(ListPosition header) throws IOException, InterruptedException;

    /** Called with the complete list as of {@code position}. */
    void onCompleteList(ListPosition position, List<ListItem> items) throws IOException, InterruptedException;

    /** Called with all changes up to {@code position}; empty if the registry only reports progress. */
    void onChanges(ListPosition position, List<ListItem> items) throws IOException, InterruptedException;

    /**
     * Called before a watch resumes, with the most recently modified entries at its position and the number of
     * entries, see {@link EndpointListState#checkResume}.
     */
    void onWatchResumed(ListPosition header, List<ListItem> lastChanged, long count)
            throws IOException, InterruptedException;

    /** Called when the requested changes are not available: compacted, or in the future. */
    void onCompacted(String reason) throws IOException, InterruptedException;

    /** Called with the result of a position check, see {@link EndpointListState#checkWatch}. */
    void onPositionChecked(ListPosition header, long newestRevision, long count)
            throws IOException, InterruptedException;
}
