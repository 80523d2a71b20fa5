/**
 * The replicated store for configuration and state that all routers share.
 *
 * <p>{@link magpiehub.store.LastWriteWinsStore} is one replica. It sends every write to its peers ({@code PeerLink}),
 * takes theirs ({@code PeerListener}), and resolves conflicts by {@code LamportTimestamp}. The store is off unless
 * {@code deploy/store.json} exists, and no request needs it to be routed.
 *
 * <p>The protocol is one JSON object per line, in one direction: a replica dials each peer, sends all entries, then
 * each write as it comes. A line without a timestamp is an operator's write; see {@code StoreMessageCodec}.
 */
package magpiehub.store;
