package magpiehub.discovery;

/**
 * A position in the history of an endpoint list's source. Two positions compare only within one {@code
 * history}.
 *
 * @param history identifies the history (etcd: the cluster id); empty where the source names none
 * @param term the leader's term, which never decreases within a history; 0 where the source names none
 * @param revision the revision (etcd, the platform) or index (Consul); -1 before any list was received
 */
public record ListPosition(String history, long term, long revision) {
    /** The position before any list was received. */
    public static final ListPosition NONE = new ListPosition("", 0, -1);

    /** Whether a list was received at all. */
    public boolean isKnown() {
        return revision >= 0;
    }
}
