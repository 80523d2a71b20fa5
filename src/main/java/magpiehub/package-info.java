/**
 * magpiehub: a router for fleets of language-model engines. {@link magpiehub.Main} is the command line.
 *
 * <p>A client's request passes through {@code downstream} (listener and connections), {@code protocol} (translation),
 * {@code dispatch} (the actor that owns open requests), {@code routing} (all decisions, without I/O) and
 * {@code upstream} (connections to engines); {@code streaming} limits the resources of its response. {@code discovery}
 * and {@code sites} track the available engines and sites, {@code admin} handles operators' commands, and
 * {@code lifecycle} wires everything together. {@code config}, {@code telemetry}, {@code concurrent}, {@code http} and
 * {@code store} are shared by all; {@code simulator} runs the routing decisions without a router.
 */
package magpiehub;
