package magpiehub.discovery;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import magpiehub.concurrent.Mailbox;
import magpiehub.concurrent.MonotonicClock;
import magpiehub.config.EndpointEntry;

/**
 * Writes the list to its {@link EndpointListCache} on a thread of its own, for the actor must not block on the
 * disk. At most one list waits to be written. All methods but {@link #run} belong to the actor's thread.
 */
final class EndpointListCacheWriter {
    private record Write(Path file, List<EndpointEntry> entries, ListPosition position) {}

    private final EndpointEntryParser parser;
    private final RegistryEventLog log;
    private final Mailbox<Write> queue;
    private long lastWriteMicros = Long.MIN_VALUE / 2;
    /** The version of the list that is in the file or on its way there; -1 for none. */
    private long writtenVersion = -1;

    EndpointListCacheWriter(EndpointEntryParser parser, MonotonicClock clock, RegistryEventLog log) {
        this.parser = parser;
        this.log = log;
        this.queue = new Mailbox<>(clock, 0);
    }

    /** Notes that the file has this version of the list already. */
    void markWritten(long version) {
        writtenVersion = version;
    }

    /** When the next write is due; {@link Long#MAX_VALUE} if the file is up to date. */
    long nextWriteMicros(DiscoverySettings settings, EndpointListState list) {
        return settings.cacheFile() == null || writtenVersion == list.version()
                ? Long.MAX_VALUE
                : lastWriteMicros + settings.cacheIntervalMicros();
    }

    /** Queues the list for writing if that is due. */
    void writeIfDue(DiscoverySettings settings, EndpointListState list, long nowMicros) {
        if (nowMicros < nextWriteMicros(settings, list)) {
            return;
        }
        lastWriteMicros = nowMicros;
        writtenVersion = list.version();
        Write write = new Write(settings.cacheFile(), list.entries(), list.position());
        queue.poll(); // The list that still waits is outdated.
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
