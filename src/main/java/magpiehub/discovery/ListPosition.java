package magpiehub.discovery;

/**
 * A position in the history of an endpoint list's source. Two positions can only be compared if they have the same
 * {@code history}.
 *
 * @param history identifies the history (etcd: the cluster id); empty if the source reports none
 * @param term the leader's term, which never decreases within a history; 0 if the source reports none
 * @param revision the revision (etcd, the platform) or index (Consul); -1 before any list was received
 */
public record ListPosition(String history, long term, long revision) {
    /** The position before any list was received. */
    public static final ListPosition NONE = new ListPosition("", 0, -1);

    /** Whether this is the position of a received list. */
    public boolean isKnown() {
        return revision >= 0;
    }
}
