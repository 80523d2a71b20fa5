/**
 * Client protocols: how a client's request becomes a {@link magpiehub.routing.RoutingRequest}, and how an upstream's
 * events become the bytes of its response.
 *
 * <p>A {@link magpiehub.protocol.ProtocolAdapter} serves one listener and makes a
 * {@link magpiehub.protocol.ProtocolExchange} of each request. {@link magpiehub.protocol.PlatformProtocol} forwards the
 * platform's chat completions as they are; {@link magpiehub.protocol.MessagesProtocol} translates the messages API to
 * them and back. Neither touches a socket, nor decides what becomes of a request.
 */
package magpiehub.protocol;
