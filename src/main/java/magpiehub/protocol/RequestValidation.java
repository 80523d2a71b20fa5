package magpiehub.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import magpiehub.config.Json;
import magpiehub.http.HttpException;
import magpiehub.http.HttpHead;

/** Request checks that all protocols share. */
final class RequestValidation {
    private RequestValidation() {}

    /**
     * Returns the target of a request, which must be a POST to the given path, with or without a query.
     *
     * @throws HttpException with status 404 for any other path, 405 for any other method
     */
    static String requirePost(HttpHead head, String path) throws HttpException {
        String target = head.target();
        if (!target.equals(path) && !target.startsWith(path + "?")) {
            throw new HttpException(404, "no such path");
        }
        if (!head.method().equals("POST")) {
            throw new HttpException(405, "POST only");
        }
        return target;
    }

    /**
     * Checks that a body is a single JSON object. Upstreams would answer any other body with an error, which would be
     * taken for a failure of the upstream.
     */
    static void requireJsonObject(byte[] body) throws HttpException {
        try (JsonParser parser = Json.FACTORY.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new HttpException(400, "body is no JSON object");
            }
            parser.skipChildren();
            if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
                throw new HttpException(400, "body is no single JSON object");
            }
        } catch (HttpException e) {
            throw e;
        } catch (JsonProcessingException e) {
            throw new HttpException(400, "body is no JSON");
        } catch (IOException e) {
            throw new HttpException(400, "body is unreadable");
        }
    }
}
