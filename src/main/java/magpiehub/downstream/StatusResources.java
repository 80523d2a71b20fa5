package magpiehub.downstream;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;

/**
 * The resources for load balancers and operators: the readiness at {@code /up}, and {@code /counters}. Thread-safe.
 */
final class StatusResources {
    private static final String READINESS_PATH = "/up";
    private static final String COUNTERS_PATH = "/counters";
    private static final String CONTENT_TYPE = "text/plain; charset=utf-8";

    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;

    private final DrainState drain;
    private final BooleanSupplier ready;
    private final Supplier<String> counters;

    StatusResources(DrainState drain, BooleanSupplier ready, Supplier<String> counters) {
        this.drain = drain;
        this.ready = ready;
        this.counters = counters;
    }

    /** Whether a path names one of the resources. */
    static boolean handles(String path) {
        return path.equals(READINESS_PATH) || path.equals(COUNTERS_PATH);
    }

    /** Writes the complete response to a request for one of the resources. */
    void writeResponse(HttpWriter out, String method, String path, boolean lastResponse) {
        boolean bodyWanted = !method.equals("HEAD");
        boolean methodAllowed = method.equals("GET") || !bodyWanted;
        int status = methodAllowed ? status(path) : METHOD_NOT_ALLOWED;
        String text = path.equals(COUNTERS_PATH) ? counters.get() : status == OK ? "up\n" : "not ready\n";
        byte[] body = bodyWanted ? text.getBytes(StandardCharsets.UTF_8) : new byte[0];
        HttpResponses.append(out, status, CONTENT_TYPE, body, lastResponse);
    }

    private int status(String path) {
        boolean unavailable = path.equals(READINESS_PATH) && (drain.isStandby() || !ready.getAsBoolean());
        return unavailable ? UNAVAILABLE : OK;
    }
}
