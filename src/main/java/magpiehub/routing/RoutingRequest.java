package magpiehub.routing;

/**
 * The attributes of a client's request that routing decisions need.
 *
 * @param id unique among the requests in flight
 * @param classIndex index of the request's class in {@link RoutingSettings#classes()}; rejected if out of range
 * @param tenantIndex index of the tenant in {@link RoutingSettings#tenants()}, -1 if unknown
 * @param sessionId identifies the conversation; 0 if there is none
 * @param prefixId identifies the prompt prefix that it shares with other requests; 0 if there is none
 * @param deadline time at which its client stops waiting, in microseconds of the host's clock
 * @param predictedMillis the client's estimate of the work in milliseconds; 0 if unknown
 * @param promptTokens length of the whole prompt in tokens; 0 if unknown
 * @param prefixTokens length of the shared prefix in tokens; 0 if unknown
 * @param maxOutputTokens maximum length of the answer in tokens; 0 if unknown
 * @param clientRetry whether it is a retry by the client after an earlier answer
 * @param write whether the client declares that it changes data
 * @param continuation whether it continues a stream that broke or was migrated
 */
public record RoutingRequest(
        String id,
        int classIndex,
        int tenantIndex,
        long sessionId,
        long prefixId,
        long deadline,
        double predictedMillis,
        double promptTokens,
        double prefixTokens,
        double maxOutputTokens,
        boolean clientRetry,
        boolean write,
        boolean continuation) {}
