/**
 * The clients' side: listening sockets, the connections that they accept, and the exchanges on them.
 *
 * <p>{@link magpiehub.downstream.ClientListener} is the entry point. Its {@code ConnectionAcceptor} accepts sockets,
 * {@code FirstByteWatcher} delays the reader of silent clients when there are many, and {@code ConnectionMonitor} runs
 * the timers. Each {@code ClientConnection} has a {@code ClientRequestReader}, a thread that parses requests, and a
 * {@code ClientConnectionActor}, which alone writes to the socket. What the reader, the dispatcher, the upstream side
 * and the timers report to the actor is a {@code ClientMessage}; {@code ClientMessageHandler} says what is done for
 * each, and how the connection is closed ({@code ConnectionCloseState}). Which idle connections are closed when
 * descriptors run short or clients are sent away is decided by {@code IdleEviction}.
 */
package magpiehub.downstream;
