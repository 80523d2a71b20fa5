/**
 * magpiehub: a router for fleets of language-model engines. {@link magpiehub.Main} is the command line.
 *
 * <p>A client's request passes {@code downstream} (listener and connections), {@code protocol} (translation),
 * {@code dispatch} (the actor that owns open requests), {@code routing} (all decisions, without I/O) and
 * {@code upstream} (connections to engines); {@code streaming} bounds what its response may take. {@code discovery} and
 * {@code sites} say which engines there are and which sites are up, {@code admin} takes operators' commands, and
 * {@code lifecycle} wires everything together. {@code config}, {@code telemetry}, {@code concurrent}, {@code http} and
 * {@code store} serve them all; {@code simulator} hosts the decisions in place of a router.
 */
package magpiehub;
