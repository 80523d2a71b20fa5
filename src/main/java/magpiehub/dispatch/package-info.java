/**
 * Request dispatching: the actor that owns open requests, their attempts and timers, and the ports through which it
 * reaches clients, upstreams and service discovery.
 *
 * <p>{@link magpiehub.dispatch.RequestDispatcher} is the entry point and says which thread may call what. Messages
 * ({@code DispatcherMessage}) and timer events ({@code TimerEvent}) reach {@code DispatcherEventHandler}, which passes
 * them to {@code RequestLifecycle} and {@code DispatcherShutdown}; what the routing policy decides is carried out by
 * {@code RoutingActionExecutor}. The package knows no wire format and takes no routing decision.
 */
package magpiehub.dispatch;
