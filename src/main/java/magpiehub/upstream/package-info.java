/**
 * The connections to upstreams: a pool with the idle connections of each endpoint, the actor that executes one attempt
 * at a time on a connection, the thread that reads its responses, and health checks.
 *
 * <p>Each class documents the thread that it is confined to. There are four kinds: the dispatcher's thread owns the
 * pool; a connection's actor runs on the shared {@link magpiehub.concurrent.ActorThreadPool}; one blocking reader
 * thread serves each open socket; and one timer thread notifies connections whose timer has expired. They communicate
 * through {@link magpiehub.upstream.ConnectionMessage} and {@link magpiehub.dispatch.RequestDispatcher}.
 */
package magpiehub.upstream;
