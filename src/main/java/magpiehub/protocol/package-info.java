/**
 * Client protocols: convert a client's request to a {@link magpiehub.routing.RoutingRequest}, and an upstream's events
 * to the bytes of the response.
 *
 * <p>A {@link magpiehub.protocol.ProtocolAdapter} serves one listener and creates a
 * {@link magpiehub.protocol.ProtocolExchange} for each request. {@link magpiehub.protocol.PlatformProtocol} forwards
 * the platform's chat completions unchanged; {@link magpiehub.protocol.MessagesProtocol} translates the messages API to
 * them and back. Neither accesses sockets or decides how a request is handled.
 */
package magpiehub.protocol;
