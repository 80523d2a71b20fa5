/**
 * The replicated store for configuration and state that all routers share.
 *
 * <p>{@link magpiehub.store.LastWriteWinsStore} is one replica. It sends every write to its peers ({@code PeerLink}),
 * receives theirs ({@code PeerListener}), and resolves conflicts by {@code HybridTimestamp}. The store is off unless
 * {@code deploy/store.json} exists, and requests are routed without it.
 *
 * <p>The protocol is one JSON object per line, in one direction: a replica connects to each peer, sends all entries,
 * then each write as it is made. A line without a timestamp is an operator's write; see {@code StoreMessageCodec}.
 * After its start, a replica requests all entries of each peer once, on a connection of its own ({@code CatchUp}).
 */
package magpiehub.store;
