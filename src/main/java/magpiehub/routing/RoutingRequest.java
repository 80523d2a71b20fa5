package magpiehub.routing;

/**
 * A client's request, as far as decisions need it.
 *
 * @param id unique among the requests in flight
 * @param classIndex place of the request's class in {@link RoutingSettings#classes()}; one out of range is rejected
 * @param tenantIndex place of the tenant in {@link RoutingSettings#tenants()}, -1 if unknown
 * @param sessionId identifies the conversation; 0 if there is none
 * @param prefixId identifies the prompt prefix that the request shares with others; 0 if there is none
 * @param deadline when its client stops waiting, in microseconds of the host's clock
 * @param predictedMillis the client's estimate of the work in milliseconds; 0 if unknown
 * @param promptTokens length of the whole prompt in tokens; 0 if unknown
 * @param prefixTokens length of the shared prefix in tokens; 0 if unknown
 * @param maxOutputTokens longest answer that is asked for, in tokens; 0 if unknown
 * @param clientRetry whether the client sends it anew after an earlier answer
 * @param write whether the client says that it changes data
 * @param continuation whether it asks for the rest of a stream that broke or was migrated
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
