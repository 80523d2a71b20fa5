/**
 * The connections to upstreams: a pool for each endpoint, the actor that carries out one attempt at a time on a
 * connection, the thread that reads its responses, and health checks.
 *
 * <p>Each class says which thread it belongs to. There are four kinds: the dispatcher's thread owns the pool; a
 * connection's actor takes its turns on the shared {@link magpiehub.concurrent.ActorThreadPool}; one blocking reader
 * thread serves each open socket; and one timer thread wakes the connections whose timer is due. They communicate by
 * {@link magpiehub.upstream.ConnectionMessage} and through
 * {@link magpiehub.dispatch.RequestDispatcher}.
 */
package magpiehub.upstream;
