package magpiehub.discovery;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.EndpointEntry;

/**
 * Writes the list to its {@link EndpointListCache} on a separate thread, because the actor must not block on disk
 * I/O. At most one list is queued for writing. All methods except {@link #run} belong to the actor's thread.
 */
final class EndpointListCacheWriter {
    private record Write(Path file, List<EndpointEntry> entries, ListPosition position) {}

    private final EndpointEntryParser parser;
    private final RegistryEventLog log;
    private final Mailbox<Write> queue;
    private long lastWriteMicros = Long.MIN_VALUE / 2;
    /** The version of the list that was written or queued last; -1 for none. */
    private long writtenVersion = -1;

    EndpointListCacheWriter(EndpointEntryParser parser, MonotonicClock clock, RegistryEventLog log) {
        this.parser = parser;
        this.log = log;
        this.queue = new Mailbox<>(clock, 0);
    }

    /** Records that the file already contains this version of the list. */
    void markWritten(long version) {
        writtenVersion = version;
    }

    /** When the next write is due; {@link Long#MAX_VALUE} if the file is up to date or there is no cache file. */
    long nextWriteMicros(DiscoverySettings settings, EndpointListState list) {
        return settings.cacheFile() == null || writtenVersion == list.version()
                ? Long.MAX_VALUE
                : lastWriteMicros + settings.cacheIntervalMicros();
    }

    /** Queues the list for writing if a write is due. */
    void writeIfDue(DiscoverySettings settings, EndpointListState list, long nowMicros) {
        if (nowMicros < nextWriteMicros(settings, list)) {
            return;
        }
        lastWriteMicros = nowMicros;
        writtenVersion = list.version();
        Write write = new Write(settings.cacheFile(), list.entries(), list.position());
        queue.poll(); // Drops a queued list, which is now outdated.
        queue.post(write);
    }

    /** Writes the queued lists until the thread is interrupted. */
    void run() {
        try {
            while (true) {
                write(queue.take(Long.MAX_VALUE));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Write write) {
        try {
            EndpointListCache cache = new EndpointListCache(write.file, parser);
            cache.write(write.entries, write.position, System.currentTimeMillis());
            log.countCacheWrite();
        } catch (IOException | RuntimeException e) {
            log.cacheWriteFailed(write.file, e);
        }
    }
}
