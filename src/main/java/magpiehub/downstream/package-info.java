/**
 * The downstream side: listening sockets, the connections accepted on them, and the exchanges on those connections.
 *
 * <p>{@link magpiehub.downstream.ClientListener} is the entry point. Its {@code ConnectionAcceptor} accepts sockets,
 * {@code FirstByteWatcher} delays the readers of clients that have sent nothing when there are many connections, and
 * {@code ConnectionMonitor} expires timers. Each {@code ClientConnection} has a {@code ClientRequestReader}, which
 * parses requests on a thread of its own, and a {@code ClientConnectionActor}, the only one that writes to the socket.
 * Whatever the reader, the dispatcher, the upstream side and the timers report to the actor is a {@code ClientMessage};
 * {@code ClientMessageHandler} defines how each is handled, and how the connection is closed ({@code
 * ConnectionCloseState}). {@code IdleEviction} selects the idle connections to close when descriptors are short or the
 * listener is draining.
 */
package magpiehub.downstream;
