/**
 * Request dispatching: the actor that owns open requests, their attempts and timers, and its ports to clients,
 * upstreams and service discovery.
 *
 * <p>{@link magpiehub.dispatch.RequestDispatcher} is the entry point and documents the threading rules. Messages
 * ({@code DispatcherMessage}) and timer events ({@code TimerEvent}) are passed to {@code DispatcherEventHandler}, which
 * calls {@code RequestLifecycle} and {@code DispatcherShutdown}; the actions of the routing policy are executed by
 * {@code RoutingActionExecutor}. The package contains no wire formats and no routing decisions.
 */
package magpiehub.dispatch;
