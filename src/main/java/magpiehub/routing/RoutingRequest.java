package magpiehub.routing;

/** A client's request. {@code session} and {@code prefix} are 0 when absent. */
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
