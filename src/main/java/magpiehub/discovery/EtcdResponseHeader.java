package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/** Reads the header of an etcd response, which holds the cluster's position at the time of the response. */
final class EtcdResponseHeader {
    private EtcdResponseHeader() {}

    /** Reads the header that starts at the parser's current token; absent numbers are 0. */
    static ListPosition read(JsonParser parser) throws IOException {
        long clusterId = 0;
        long raftTerm = 0;
        long revision = 0;
        JsonObjects.expectObject(parser);
        for (String name = JsonObjects.nextMember(parser); name != null; name = JsonObjects.nextMember(parser)) {
            switch (name) {
                case "cluster_id" -> clusterId = JsonObjects.readUnsignedLong(parser);
                case "raft_term" -> raftTerm = JsonObjects.readUnsignedLong(parser);
                case "revision" -> revision = JsonObjects.readUnsignedLong(parser);
                default -> parser.skipChildren();
            }
        }
        return new ListPosition(Long.toHexString(clusterId), raftTerm, revision);
    }
}
