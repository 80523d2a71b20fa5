package magpiehub.protocol;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpResponses;
import magpiehub.http.HttpWriter;
import magpiehub.routing.RoutingRequest;
import magpiehub.store.KeyValueStore;

/**
 * The messages API: {@code POST /v1/messages}, translated to the platform's chat completions and back. Class, tenant,
 * id and timeout may be given in the platform's headers; {@link MessagesSettings} has the default class and tenant.
 */
public final class MessagesProtocol implements ProtocolAdapter {
    private static final String PATH = "/v1/messages";
    /** The only header of this protocol that is forwarded, since it means the same to upstreams; in lower case. */
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** Prefix of the store keys that map a model's name to the class of its requests. */
    private static final String STORED_CLASS_PREFIX = "messages/model/";
    /** An estimate; the whole platform uses the same value. */
    private static final int CHARACTERS_PER_TOKEN = 4;
    /** Session and prefix ids are limited to 53 bits, the precision of numbers in the simulator's wire format. */
    private static final long ID_MASK = (1L << 53) - 1;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final int SERVICE_UNAVAILABLE = 503;
    /** The messages API's own status for "overloaded". */
    private static final int OVERLOADED = 529;

    private final Supplier<SiteSettings> site;
    private final MessagesSettings settings;
    private final KeyValueStore store;

    /**
     * Creates the protocol of a site.
     *
     * @param site supplies the current settings, once per request
     * @param store holds the classes of models, which override the settings; null if the store is disabled
     */
    public MessagesProtocol(Supplier<SiteSettings> site, MessagesSettings settings, KeyValueStore store) {
        this.site = site;
        this.settings = settings;
        this.store = store;
    }

    @Override
    public ProtocolExchange readRequest(HttpHead head, byte[] body, long receivedAtMicros) throws HttpException {
        RequestValidation.requirePost(head, PATH);
        try {
            return translate(head, new MessagesRequest(ConfigurationObject.parse(body, "request")), receivedAtMicros);
        } catch (ConfigurationException e) {
            throw new HttpException(400, e.getMessage());
        } catch (HttpException e) {
            throw e;
        } catch (IOException e) {
            throw new HttpException(400, "body is unreadable");
        }
    }

    private ProtocolExchange translate(HttpHead head, MessagesRequest request, long receivedAtMicros)
            throws HttpException {
        byte[] upstreamBody = MessagesTranslator.toChatCompletion(request);
        RoutingRequest routing = createRoutingRequest(head, request, receivedAtMicros);
        return new MessagesExchange(
                this,
                routing,
                head.headers().endToEndLines(IDEMPOTENCY_KEY::equals),
                upstreamBody,
                request.model(),
                request.wantsStream());
    }

    private RoutingRequest createRoutingRequest(HttpHead head, MessagesRequest request, long receivedAtMicros)
            throws HttpException {
        SiteSettings current = site.get();
        String namedClass = PlatformHeaders.decodeName(head.headers().get(PlatformHeaders.CLASS));
        int classIndex =
                PlatformHeaders.requireClass(current, namedClass != null ? namedClass : classOf(request.model()));
        String tenant = PlatformHeaders.decodeName(head.headers().get(PlatformHeaders.TENANT));
        String id = head.headers().get(PlatformHeaders.REQUEST_ID);
        String timeout = head.headers().get(PlatformHeaders.TIMEOUT_MS);
        long timeoutMicros = timeout != null
                ? PlatformHeaders.parseTimeoutMicros(timeout)
                : current.routing().classes().get(classIndex).deadline();
        long session = sessionOf(head, request);
        String system = request.system();
        return new RoutingRequest(
                id != null ? PlatformHeaders.requireId(id) : newRequestId(),
                classIndex,
                current.tenantIndex(tenant != null ? tenant : settings.defaultTenant()),
                session,
                system.isEmpty() ? 0 : hash(system),
                receivedAtMicros + timeoutMicros,
                0,
                Math.floorDiv(request.characters(), CHARACTERS_PER_TOKEN),
                Math.floorDiv(system.length(), CHARACTERS_PER_TOKEN),
                request.maxTokens(),
                false,
                false,
                false);
    }

    /** The class of a model's requests: the store's entry if there is one, otherwise that of the settings. */
    private String classOf(String model) {
        String stored = store == null ? null : store.get(STORED_CLASS_PREFIX + model);
        return stored != null ? stored : settings.classOf(model);
    }

    /** Identifies a conversation by its first message, since each request repeats all previous messages. */
    private static long sessionOf(HttpHead head, MessagesRequest request) throws HttpException {
        String session = head.headers().get(PlatformHeaders.SESSION_HASH);
        if (session != null) {
            return PlatformHeaders.parseUnsigned(session, PlatformHeaders.HEXADECIMAL, PlatformHeaders.SESSION_HASH);
        }
        String opening = request.messages().get(0).content();
        return hash(request.userId() + '\n' + request.system() + '\n' + opening);
    }

    /** FNV-1a hash of the text's characters, folded to {@link #ID_MASK}; never 0, which means no id. */
    private static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return ((hash ^ hash >>> 32) & ID_MASK) | 1;
    }

    private static String newRequestId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    @Override
    public boolean hasKeepAlive() {
        return true;
    }

    @Override
    public void writeError(HttpWriter out, int status, String reason, long retryAfterMicros, boolean close) {
        int apiStatus = status == SERVICE_UNAVAILABLE ? OVERLOADED : status;
        HttpResponses.appendError(out, apiStatus, errorJson(apiStatus, reason) + "\n", retryAfterMicros, close);
    }

    /** The messages API's error object for a status. */
    static String errorJson(int status, String reason) {
        String type =
                switch (status) {
                    case 400, 405, 408, 431 -> "invalid_request_error";
                    case 404 -> "not_found_error";
                    case 413 -> "request_too_large";
                    case 504 -> "timeout_error";
                    case OVERLOADED -> "overloaded_error";
                    default -> "api_error";
                };
        return "{\"type\":\"error\",\"error\":{\"type\":\"" + type + "\",\"message\":" + JsonText.quote(reason) + "}}";
    }
}
