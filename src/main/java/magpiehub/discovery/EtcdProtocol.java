package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import magpiehub.config.ConfigurationException;
import magpiehub.http.HttpHead;

/**
 * Reads and watches endpoint lists in etcd through its v3 JSON gateway, versions 3.4 and later.
 *
 * <p>Follows etcd's documentation and its {@code rpc.proto}: {@code /v3/kv/range} in pages at one revision, and
 * {@code /v3/watch} from a revision, with created and cancelled responses, {@code compact_revision}, progress
 * notifications and fragments.
 *
 * <p>64-bit numbers are accepted as JSON strings or numbers, and absent ones are 0; keys and values are Base64. Reads
 * are linearizable: a response reflects everything that the cluster had committed when it received the request.
 */
final class EtcdProtocol implements RegistryProtocol {
    /** Limits how often one call restarts a list that is compacted while it is read; the call then fails. */
    private static final int MAX_RESTARTS = 3;

    /** How many of the most recently modified keys are compared to detect that the history has changed. */
    private static final int COMPARED_KEYS = 16;

    private static final long CURRENT_REVISION = 0;

    private final EtcdClient client;
    private final EtcdKeyRange range;
    private final EtcdEntryReader entryReader;
    private final int pageSize;

    /**
     * Creates a protocol that reads the keys under a prefix.
     *
     * @param user null if the cluster requires no authentication
     */
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
    public long maxWatchSilenceMicros() {
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

    /** Reads all pages at the revision of the first page. */
    private void readPages(RegistryConnection connection, RegistryEventListener listener)
            throws IOException, InterruptedException {
        List<ListItem> items = new ArrayList<>();
        ListPosition position = null;
        EtcdKeyRange rest = range;
        while (true) {
            EtcdRangeResponse page = readPage(connection, rest, position);
            if (position != null && !position.history().equals(page.header().history())) {
                throw new ConfigurationException("pages of one list come from different etcd clusters");
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

    /** Reads the most recently modified key, without its value, and the number of keys. */
    private EtcdRangeResponse readNewestKey(RegistryConnection connection) throws IOException {
        return callRange(connection, generator -> {
            writeNewestFirst(generator, 1);
            generator.writeBooleanField("keys_only", true);
        });
    }

    /**
     * Watches from the revision after the given position. First reports the most recently modified keys at that
     * position, so that the listener can cancel the call if they belong to a different history.
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
        throw new EOFException("etcd closed the watch stream");
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

    /** Reports the most recently modified keys as of a revision, and the number of keys. */
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
            throw new ConfigurationException("etcd range response has no revision");
        }
        return response;
    }
}
