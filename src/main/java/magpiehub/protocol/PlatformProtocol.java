package magpiehub.protocol;

import java.io.IOException;
import java.util.Set;
import java.util.function.Supplier;
import magpiehub.config.SiteSettings;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;

/**
 * The platform's own protocol: {@code POST /v1/chat/completions}, with metadata in the platform's headers. Bodies and
 * events are forwarded byte for byte.
 */
public final class PlatformProtocol implements ProtocolAdapter {
    static final String PATH = "/v1/chat/completions";

    /**
     * Client headers that are not forwarded to upstreams, in lower case: those that the router reads or writes itself,
     * and the accepted content codings, since the router has to read the events that it forwards. All other end-to-end
     * headers, such as the idempotency key, are forwarded.
     */
    private static final Set<String> ROUTER_HEADERS = Set.of(
            "accept-encoding",
            "content-type",
            "x-call-id",
            "x-call-class",
            "x-caller",
            "x-route-hash",
            "x-budget-ms",
            "x-call-info",
            "x-call-cost",
            "x-again");

    private final Supplier<SiteSettings> site;

    /**
     * Creates the protocol of a site.
     *
     * @param site supplies the current settings, once per request
     */
    public PlatformProtocol(Supplier<SiteSettings> site) {
        this.site = site;
    }

    @Override
    public ProtocolExchange readRequest(HttpHead head, byte[] body, long receivedAtMicros) throws HttpException {
        String target = RequestValidation.requirePost(head, PATH);
        RequestValidation.requireJsonObject(body);
        SiteSettings current = site.get();
        RoutingRequest request = parseHeaders(current, head, receivedAtMicros);
        byte[] headers = head.headers().endToEndLines(name -> !ROUTER_HEADERS.contains(name));
        boolean resumesStream = current.routing().resumesStreams();
        return new PlatformExchange(this, request, target, headers, body, resumesStream);
    }

    @Override
    public boolean resumesStreams() {
        return site.get().routing().resumesStreams();
    }

    private static RoutingRequest parseHeaders(SiteSettings site, HttpHead head, long receivedAtMicros)
            throws HttpException {
        String id = PlatformHeaders.requireId(PlatformHeaders.require(head, PlatformHeaders.REQUEST_ID));
        long timeout = PlatformHeaders.parseTimeoutMicros(PlatformHeaders.require(head, PlatformHeaders.TIMEOUT_MS));
        String tenant = PlatformHeaders.decodeName(head.headers().getSingle(PlatformHeaders.TENANT));
        String session = head.headers().getSingle(PlatformHeaders.SESSION_HASH);
        PromptInfo prompt = PromptInfo.parse(head.headers().getSingle(PlatformHeaders.PROMPT_INFO));
        String retry = head.headers().get(PlatformHeaders.RETRY);
        String className = PlatformHeaders.decodeName(PlatformHeaders.require(head, PlatformHeaders.CLASS));
        return new RoutingRequest(
                id,
                PlatformHeaders.requireClass(site, className),
                tenant == null ? -1 : site.tenantIndex(tenant),
                session == null
                        ? 0
                        : PlatformHeaders.parseUnsigned(
                                session, PlatformHeaders.HEXADECIMAL, PlatformHeaders.SESSION_HASH),
                prompt.prefixId(),
                receivedAtMicros + timeout,
                PlatformHeaders.parseCostMillis(head.headers().get(PlatformHeaders.COST_MICROS)),
                prompt.promptTokens(),
                prompt.prefixTokens(),
                prompt.maxOutputTokens(),
                "1".equals(retry),
                false,
                "again".equals(retry));
    }

    /** Runs a synthetic exchange until its code is JIT-compiled, so that it doesn't slow down the first requests. */
    public void warmUp() throws IOException {
        new PlatformWarmUp(this, site.get().routing().classes().get(0).name()).run();
    }

    @Override
    public void writeError(HttpWriter out, int status, String reason, long retryAfterMicros, boolean close) {
        String body = "{\"error\":{\"message\":\"" + reason + "\",\"code\":" + status + "}}\n";
        HttpResponses.appendError(out, status, body, retryAfterMicros, close);
    }
}
