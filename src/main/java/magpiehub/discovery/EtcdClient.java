package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import magpiehub.http.HttpHead;

/**
 * Calls to etcd's JSON gateway, authenticated where the cluster asks for it: {@code /v3/auth/authenticate} exchanges
 * name and password for a token, which may expire at any time.
 *
 * <p>Several threads may call, each on a connection of its own; they share the token.
 */
final class EtcdClient {
    private static final int STATUS_UNAUTHORIZED = 401;

    private final EtcdCredentials credentials;
    private volatile String token;

    /** A client; {@code credentials} is null where the cluster asks for no authentication. */
    EtcdClient(EtcdCredentials credentials) {
        this.credentials = credentials;
    }

    /**
     * Makes a call, after authentication where there is no token. If the token turns out to be invalid, a new one is
     * fetched and the call repeated once.
     *
     * @return the head of a response whose body holds JSON
     * @throws EtcdStatusException if etcd reports that a revision is out of range
     * @throws HttpStatusException for any other error that is reported
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

    /** Makes the next call authenticate anew. */
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
            throw new EtcdStatusException(EtcdStatusException.UNAUTHENTICATED, "the login gave no token");
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

    /** Whether a text consists of visible ASCII characters alone, so that it can't break out of a header. */
    private static boolean isHeaderSafe(String text) {
        return text.chars().noneMatch(c -> c <= ' ' || c >= 0x7f);
    }
}
