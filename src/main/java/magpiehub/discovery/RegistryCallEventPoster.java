package magpiehub.discovery;

import java.io.IOException;
import java.util.List;
import magpiehub.concurrent.Mailbox;

/**
 * Posts the events of a call to the actor. Blocks while the actor's mailbox is full, which delays only this call.
 */
final class RegistryCallEventPoster implements RegistryEventListener {
    /** The estimated size of an event in the mailbox, without its items. */
    private static final int EVENT_BYTES = 64;

    /** The estimated size of an item in the mailbox. */
    private static final int ITEM_BYTES = 256;

    private final RegistryCall call;
    private final Mailbox<RegistryMessage> actor;

    RegistryCallEventPoster(RegistryCall call, Mailbox<RegistryMessage> actor) {
        this.call = call;
        this.actor = actor;
    }

    @Override
    public void onWatchOpened(ListPosition header) throws IOException, InterruptedException {
        post(new RegistryCallEvent.WatchOpened(header), EVENT_BYTES);
    }

    @Override
    public void onCompleteList(ListPosition position, List<ListItem> items) throws IOException, InterruptedException {
        post(new RegistryCallEvent.CompleteListRead(position, items), sizeOf(items));
    }

    @Override
    public void onChanges(ListPosition position, List<ListItem> items) throws IOException, InterruptedException {
        post(new RegistryCallEvent.ChangesReceived(position, items), sizeOf(items));
    }

    @Override
    public void onWatchResumed(ListPosition header, List<ListItem> lastChanged, long count)
            throws IOException, InterruptedException {
        post(new RegistryCallEvent.WatchResumed(header, lastChanged, count), EVENT_BYTES);
    }

    @Override
    public void onCompacted(String reason) throws IOException, InterruptedException {
        post(new RegistryCallEvent.Compacted(reason), EVENT_BYTES);
    }

    @Override
    public void onPositionChecked(ListPosition header, long newestRevision, long count)
            throws IOException, InterruptedException {
        post(new RegistryCallEvent.PositionChecked(header, newestRevision, count), EVENT_BYTES);
    }

    private static int sizeOf(List<ListItem> items) {
        return EVENT_BYTES + ITEM_BYTES * items.size();
    }

    private void post(RegistryCallEvent event, int bytes) throws IOException, InterruptedException {
        call.markFirstEvent();
        if (!actor.postBlocking(new RegistryMessage.CallEventReceived(call, event), bytes)) {
            throw new IOException("stopped");
        }
    }
}
