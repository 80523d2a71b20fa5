package magpiehub.discovery;

import java.io.IOException;
import java.util.List;

/**
 * Receives what a call to a registry reports, on the thread that makes the call.
 *
 * <p>Each event is complete: a page, a line or a set of changes that was cut off is never reported. A method may
 * block until its consumer has room.
 */
interface RegistryEventListener {
    /** A watch was opened by a registry that stands at {@code header}. */
    void onWatchOpened(ListPosition header) throws IOException, InterruptedException;

    /** The complete list as of {@code position}. */
    void onCompleteList(ListPosition position, List<ListItem> items) throws IOException, InterruptedException;

    /** All changes up to {@code position}; none if the registry only reports its progress. */
    void onChanges(ListPosition position, List<ListItem> items) throws IOException, InterruptedException;

    /**
     * Reported before a watch resumes: what the registry has at the position, see {@link
     * EndpointListState#checkResume}.
     */
    void onWatchResumed(ListPosition header, List<ListItem> lastChanged, long count)
            throws IOException, InterruptedException;

    /** The requested changes are not available: compacted, or not there yet. */
    void onCompacted(String reason) throws IOException, InterruptedException;

    /** The result of a position check, see {@link EndpointListState#checkWatch}. */
    void onPositionChecked(ListPosition header, long newest, long count) throws IOException, InterruptedException;
}
