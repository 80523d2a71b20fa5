package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.http.HttpHead;

/**
 * Endpoint lists in etcd, read through its v3 JSON gateway as etcd's documentation and its {@code rpc.proto} describe
 * it (versions 3.4 and later): {@code /v3/kv/range} in pages at one revision, and {@code /v3/watch} from a revision,
 * with created and cancelled responses, {@code compact_revision}, progress notifications and fragments.
 *
 * <p>64-bit numbers are accepted as texts or numbers, absent ones as 0; keys and values are Base64. Reads are
 * linearizable: a response is never older than what the cluster had committed when it was asked.
 */
final class EtcdProtocol implements RegistryProtocol {
    /** Guards against a list that is compacted while it is read, each time: the call ends, and another is made. */
    private static final int MAX_RESTARTS = 3;

    /** How many of the keys that changed last are compared to recognize a history. */
    private static final int COMPARED_KEYS = 16;

    private static final long CURRENT_REVISION = 0;

    private final EtcdClient client;
    private final EtcdKeyRange range;
    private final EtcdEntryReader entryReader;
    private final int pageSize;

    /** The keys under a prefix; {@code user} is null where the cluster asks for no authentication. */
    EtcdProtocol(String prefix, int pageSize, String user, String password, EndpointEntryParser entries) {
        this.client = new EtcdClient(EtcdCredentials.of(user, password));
        this.range = EtcdKeyRange.ofPrefix(prefix);
        this.entryReader = new EtcdEntryReader(prefix, entries);
        this.pageSize = pageSize;
    }

    @Override
    public boolean watchReturnsCompleteList() {
        return false;
    }

    @Override
    public long maxQuietMicros() {
        return Long.MAX_VALUE;
    }

    @Override
    public void readList(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        for (int restarts = 0; ; restarts++) {
            try {
                readPages(connection, listener);
                return;
            } catch (EtcdStatusException e) {
                // The revision of the first page was compacted before the last page was read.
                if (!e.isOutOfRange() || restarts >= MAX_RESTARTS) {
                    throw e;
                }
            }
        }
    }

    /** Reads all pages at the revision of the first one. */
    private void readPages(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        List<ListItem> items = new ArrayList<>();
        ListPosition position = null;
        EtcdKeyRange rest = range;
        while (true) {
            EtcdRangeResponse page = readPage(connection, rest, position);
            if (position != null && !position.history().equals(page.header().history())) {
                throw new ConfigurationException("the pages of one list are of two clusters");
            }
            position = position == null ? page.header() : position;
            List<EtcdKeyValue> keyValues = page.keyValues();
            addItems(keyValues, items);
            if (!page.hasMore() || keyValues.isEmpty()) {
                listener.onCompleteList(position, items);
                return;
            }
            rest = range.after(keyValues.get(keyValues.size() - 1).key());
        }
    }

    private EtcdRangeResponse readPage(RegistryConnection connection, EtcdKeyRange rest, ListPosition position)
            throws IOException {
        return callRange(connection, generator -> {
            rest.write(generator);
            generator.writeNumberField("limit", pageSize);
            writeRevision(generator, position == null ? CURRENT_REVISION : position.revision());
        });
    }

    private void addItems(List<EtcdKeyValue> keyValues, List<ListItem> items) {
        for (EtcdKeyValue keyValue : keyValues) {
            items.add(entryReader.read(keyValue));
        }
    }

    @Override
    public void checkPosition(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        EtcdRangeResponse newest = readNewestKey(connection);
        List<EtcdKeyValue> keyValues = newest.keyValues();
        long newestRevision = keyValues.isEmpty() ? 0 : keyValues.get(0).modRevision();
        listener.onPositionChecked(newest.header(), newestRevision, newest.count());
    }

    /** The key that changed last, without its value, and the count of all. */
    private EtcdRangeResponse readNewestKey(RegistryConnection connection) throws IOException {
        return callRange(connection, generator -> {
            writeNewestFirst(generator, 1);
            generator.writeBooleanField("keys_only", true);
        });
    }

    /**
     * Watches from the revision after the given position. What etcd holds at the position is reported before, so that
     * the listener can cancel the call if this is another history.
     */
    @Override
    public void watch(RegistryConnection connection, ListPosition after, RegistryEventListener listener)
            throws IOException, InterruptedException {
        reportLastChanged(connection, after.revision(), listener);
        HttpHead head = client.call(connection, "/v3/watch", watchRequest(after.revision() + 1));
        EtcdWatchStream stream = new EtcdWatchStream(client, entryReader, listener);
        connection.readLines(head, line -> {
            if (line.length > 0) {
                stream.accept(EtcdWatchResponse.parse(line));
            }
        });
        throw new EOFException("the watch ended");
    }

    private byte[] watchRequest(long startRevision) throws IOException {
        return JsonObjects.toBytes(generator -> {
            generator.writeObjectFieldStart("create_request");
            range.write(generator);
            generator.writeStringField("start_revision", Long.toString(startRevision));
            generator.writeBooleanField("progress_notify", true);
            generator.writeBooleanField("fragment", true);
            generator.writeEndObject();
        });
    }

    /** Reports the keys that had changed last by a revision, and the count of all. */
    private void reportLastChanged(RegistryConnection connection, long revision, RegistryEventListener listener)
            throws IOException, InterruptedException {
        try {
            EtcdRangeResponse newest =
                    revision > CURRENT_REVISION ? readLastChanged(connection, revision) : readNewestKey(connection);
            List<ListItem> items = new ArrayList<>();
            addItems(newest.keyValues(), items);
            listener.onWatchResumed(newest.header(), items, newest.count());
        } catch (EtcdStatusException e) {
            if (e.isOutOfRange()) {
                listener.onCompacted(e.getMessage());
            }
            throw e;
        }
    }

    private EtcdRangeResponse readLastChanged(RegistryConnection connection, long revision) throws IOException {
        return callRange(connection, generator -> {
            writeNewestFirst(generator, COMPARED_KEYS);
            writeRevision(generator, revision);
        });
    }

    private void writeNewestFirst(JsonGenerator generator, int limit) throws IOException {
        range.write(generator);
        generator.writeNumberField("limit", limit);
        generator.writeStringField("sort_order", "DESCEND");
        generator.writeStringField("sort_target", "MOD");
    }

    private static void writeRevision(JsonGenerator generator, long revision) throws IOException {
        if (revision > CURRENT_REVISION) {
            generator.writeStringField("revision", Long.toString(revision));
        }
    }

    private EtcdRangeResponse callRange(RegistryConnection connection, JsonObjects.MemberWriter request)
            throws IOException {
        HttpHead head = client.call(connection, "/v3/kv/range", JsonObjects.toBytes(request));
        EtcdRangeResponse response = JsonObjects.read(connection.body(head), EtcdRangeResponse::read);
        if (response.header().revision() <= 0) {
            throw new ConfigurationException("an answer without a revision");
        }
        return response;
    }
}
