/**
 * The adapter that lets a simulator drive the routing policy: one process runs many simulated routers.
 *
 * <p>{@link magpiehub.simulator.SimulatorAdapter} reads JSON messages in batches that share one point of simulated
 * time, and answers each batch with the actions that the routers took. {@code MessageReader} reads each message into a
 * {@code MessageFields}, which {@code RouterEventDecoder} converts into a typed event; {@code SimulatedRouters} holds
 * one {@link magpiehub.routing.RoutingPolicy} per simulated router; and {@code ReplyActions} appends a policy's actions
 * to the {@code Reply} as messages. This package contains no routing logic of its own.
 *
 * <p>{@link magpiehub.simulator.JitWarmUp} runs a synthetic exchange through the adapter to compile hot code early.
 */
package magpiehub.simulator;
