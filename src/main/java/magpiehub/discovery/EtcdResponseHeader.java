package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/** Reads the header of etcd's responses, which says where the cluster stood when it answered. */
final class EtcdResponseHeader {
    private EtcdResponseHeader() {}

    /** The header that the parser stands at the start of; numbers that are absent count as 0. */
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
