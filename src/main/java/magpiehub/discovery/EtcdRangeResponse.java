package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;

/**
 * A response to {@code /v3/kv/range}: one page of keys.
 *
 * @param header the cluster's current position
 * @param hasMore whether the range has keys after the last one of this page
 * @param count the number of keys in the range, on all pages
 */
record EtcdRangeResponse(ListPosition header, List<EtcdKeyValue> keyValues, boolean hasMore, long count) {
    /** Reads the response that starts at the parser's current token. */
    static EtcdRangeResponse read(JsonParser parser) throws IOException {
        ListPosition header = ListPosition.NONE;
        List<EtcdKeyValue> keyValues = List.of();
        boolean hasMore = false;
        long count = 0;
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            switch (name) {
                case "header" -> header = EtcdResponseHeader.read(parser);
                case "kvs" -> keyValues = JsonObjects.readObjects(parser, EtcdKeyValue::read);
                case "more" -> hasMore = parser.getValueAsBoolean();
                case "count" -> count = JsonObjects.readUnsignedLong(parser);
                default -> parser.skipChildren();
            }
        }
        return new EtcdRangeResponse(header, keyValues, hasMore, count);
    }
}
