package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import magpiehub.http.HttpHead;

/**
 * Sends calls to etcd's JSON gateway, with authentication if the cluster requires it: {@code /v3/auth/authenticate}
 * exchanges user name and password for a token, which may expire at any time.
 *
 * <p>Thread-safe if each thread uses its own connection; the token is shared.
 */
final class EtcdClient {
    private static final int STATUS_UNAUTHORIZED = 401;

    private final EtcdCredentials credentials;
    private volatile String token;

    /**
     * Creates a client.
     *
     * @param credentials null if the cluster requires no authentication
     */
    EtcdClient(EtcdCredentials credentials) {
        this.credentials = credentials;
    }

    /**
     * Sends a call, after authenticating if there is no token. If etcd rejects the token, the client fetches a new one
     * and retries the call once.
     *
     * @return the head of a response with a JSON body
     * @throws EtcdStatusException if etcd reports that a revision is out of range
     * @throws HttpStatusException if the response reports any other error
     */
    HttpHead call(RegistryConnection connection, String path, byte[] body) throws IOException {
        for (int attempt = 0; ; attempt++) {
            String current = token;
            if (credentials != null && current == null) {
                current = authenticate(connection);
            }
            try {
                return connection.send("POST", path, body, 0, "Authorization", current);
            } catch (HttpStatusException e) {
                EtcdStatusException status = EtcdStatusException.parse(e);
                boolean repeatable = credentials != null && attempt == 0 && !connection.isClosed();
                if (!repeatable || !isTokenInvalid(e, status)) {
                    throw status != null && status.isOutOfRange() ? status : e;
                }
                invalidateToken();
            }
        }
    }

    private static boolean isTokenInvalid(HttpStatusException failure, EtcdStatusException status) {
        return failure.statusCode() == STATUS_UNAUTHORIZED || (status != null && status.isUnauthenticated());
    }

    /** Discards the token, so that the next call authenticates again. */
    void invalidateToken() {
        token = null;
    }

    private String authenticate(RegistryConnection connection) throws IOException {
        byte[] request = JsonObjects.toBytes(generator -> {
            generator.writeStringField("name", credentials.user());
            generator.writeStringField("password", credentials.password());
        });
        HttpHead head = connection.send("POST", "/v3/auth/authenticate", request, 0);
        String fetched = JsonObjects.read(connection.body(head), EtcdClient::readToken);
        if (fetched == null || fetched.isEmpty() || !isHeaderSafe(fetched)) {
            throw new EtcdStatusException(
                    EtcdStatusException.UNAUTHENTICATED, "authentication response has no valid token");
        }
        token = fetched;
        return fetched;
    }

    private static String readToken(JsonParser parser) throws IOException {
        String token = null;
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            if (name.equals("token")) {
                token = parser.getValueAsString();
            } else {
                parser.skipChildren();
            }
        }
        return token;
    }

    /** Returns whether a text has only visible ASCII characters, so that it can't inject headers. */
    private static boolean isHeaderSafe(String text) {
        return text.chars().noneMatch(c -> c <= ' ' || c >= 0x7f);
    }
}
