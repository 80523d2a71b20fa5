/**
 * The adapter that lets a simulator drive the routing policy: one process plays many simulated routers.
 *
 * <p>{@link magpiehub.simulator.SimulatorAdapter} reads JSON messages from its input, in batches that share one point
 * of simulated time, and answers each batch with the actions that the routers took. Reading goes through
 * {@code MessageReader}, which fills a {@code MessageFields}; {@code RouterEventDecoder} makes a typed event of it;
 * {@code SimulatedRouters} holds one {@link magpiehub.routing.RoutingPolicy} for each simulated router; and
 * {@code ReplyActions} adds a policy's actions to the {@code Reply} as messages. Nothing here decides anything.
 *
 * <p>{@link magpiehub.simulator.JitWarmUp} runs an artificial exchange through the adapter to get hot code compiled.
 */
package magpiehub.simulator;
