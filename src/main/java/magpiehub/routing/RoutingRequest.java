package magpiehub.routing;

/** A client's request. {@code session} and {@code prefix} are 0 when absent. */
public record RoutingRequest(
        String id,
        int cls,
        int tenant,
        long session,
        long prefix,
        long deadline,
        double work,
        double promptTokens,
        double prefixTokens,
        double maxOut,
        boolean retry,
        boolean write,
        boolean again) {}
