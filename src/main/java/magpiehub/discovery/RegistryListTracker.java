package magpiehub.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointListKind;

/**
 * Tracks the endpoint list of a registry and publishes it after {@link MembershipDamping}. Used by the thread of
 * {@link RegistryClient}'s actor only, unless stated otherwise.
 */
final class RegistryListTracker {
    private final EndpointListState list = new EndpointListState();
    private final EndpointListListener listener;
    private final RegistryEventLog log;
    /** Called when the list must be read again to confirm a removal of endpoints. */
    private final Runnable confirmationRequester;

    private MembershipDamping membership;
    /** Keys whose entries have been logged as unreadable. */
    private Set<String> loggedKeys = Set.of();
    /** Whether a complete list has been published since the start. */
    private volatile boolean published;

    RegistryListTracker(
            MembershipDamping.Settings settings,
            EndpointListListener listener,
            RegistryEventLog log,
            Runnable confirmationRequester) {
        this.membership = new MembershipDamping(settings);
        this.listener = listener;
        this.log = log;
        this.confirmationRequester = confirmationRequester;
    }

    /** Returns the list as the registry has it. */
    EndpointListState list() {
        return list;
    }

    /** Returns the damping, which decides what part of the list is published. */
    MembershipDamping membership() {
        return membership;
    }

    /** Returns whether a complete list has been published since the start. May be called from any thread. */
    boolean isPublished() {
        return published;
    }

    /** Applies the list cached by a previous run; {@link #publishRestored} publishes it. */
    ListDelta restore(List<ListItem> items, long nowMicros) {
        ListDelta delta = list.restore(items);
        membership.apply(delta, nowMicros);
        return delta;
    }

    /** Publishes the list that {@link #restore} applied. */
    void publishRestored() {
        listener.deliver(EndpointListKind.SAVED, membership.entries());
    }

    /** Publishes changes that have been applied to the list. */
    void publish(ListDelta delta, long nowMicros) {
        List<EndpointEntry> changes = membership.apply(delta, nowMicros);
        if (membership.takeConfirmationRequest()) {
            log.confirmationRequired(membership.heldIds().size(), list.size());
            confirmationRequester.run();
        }
        if (!published) {
            published = true;
            listener.deliver(EndpointListKind.COMPLETE, membership.entries());
        } else {
            publishChanges(changes);
        }
        if (delta.complete()) {
            log.listApplied(delta, list.position(), list.size());
        }
    }

    /** Reports to the listener that the list is unchanged; does nothing before the first complete list. */
    void publishUnchanged() {
        if (published) {
            listener.deliver(EndpointListKind.CHANGES, List.of());
        }
    }

    /** Removes the held endpoints that the second read of the list does not contain either. */
    void confirm(List<ListItem> items, long nowMicros) {
        Set<String> ids = new HashSet<>();
        for (ListItem item : items) {
            if (item.entry() != null) {
                ids.add(item.entry().endpoint().id());
            }
        }
        publishChanges(membership.applyConfirmation(ids, nowMicros));
    }

    /** Publishes the changes that are due. */
    void onTimer(long nowMicros) {
        if (membership.nextTimerMicros() > nowMicros) {
            return;
        }
        publishChanges(membership.onTimer(nowMicros));
        if (membership.takeConfirmationRequest()) {
            log.countConfirmationOverdue();
            confirmationRequester.run();
        }
    }

    /** Restarts the damping with other settings, from the endpoints published so far. */
    void changeSettings(MembershipDamping.Settings settings, long nowMicros) {
        List<EndpointEntry> entries = membership.entries();
        membership = new MembershipDamping(settings);
        membership.apply(new ListDelta(list.version(), true, false, entries, List.of()), nowMicros);
    }

    /** Logs keys whose entries have become unreadable. */
    void logUnreadableKeys() {
        Map<String, String> reasons = list.unreadableKeys();
        reasons.forEach((key, reason) -> {
            if (!loggedKeys.contains(key)) {
                log.entryUnreadable(key, reason);
            }
        });
        loggedKeys = reasons.keySet();
    }

    private void publishChanges(List<EndpointEntry> changes) {
        if (!changes.isEmpty()) {
            listener.deliver(EndpointListKind.CHANGES, changes);
        }
    }
}
