package magpiehub.streaming;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * How streams end. It owns the closed set of reasons and the count of each, and sees to it that each stream
 * has exactly one: the first one told counts, and a second is a fault that is counted too. It must never do
 * I/O or read a clock. An instance belongs to one lock or one thread.
 */
public final class StreamOutcomes {
    /** Why a stream ended. */
    public enum Ending {
        /** The client's socket has taken all of a whole stream. */
        WHOLE,
        /** It was not whole, and was ended in order in its dialect's own words. */
        INCOMPLETE,
        /** The engine told an error inside it. */
        ENGINE_ERROR,
        /** The engine's connection broke, or what came can't be read. */
        ENGINE_BROKE,
        /** The engine fell silent for longer than its pace allows. */
        ENGINE_STALLED,
        /** The client closed its connection, or reset it. */
        READER_LEFT,
        /** The client's socket took nothing for longer than its class allows. */
        READER_STUCK,
        /** Bytes were short, and this client was furthest behind for longest. */
        READER_BEHIND,
        /** The decision module ended it so that the rest is asked for elsewhere. */
        MOVED,
        /** The router stopped. */
        STOPPED,
        /** The router itself failed on it. */
        FAULT;

        /** Its counter's name. */
        public String counter() {
            return "streams_" + name().toLowerCase(Locale.ROOT);
        }
    }

    private final Map<Ending, Long> counts = new EnumMap<>(Ending.class);
    private long begun;
    private long twice;

    /** A stream has begun. */
    public void begun() {
        begun++;
    }

    /** Whether this ending counts: {@code before} is the one that the stream has already, or null. */
    public boolean ended(Ending before, Ending ending) {
        if (before != null) {
            // What belongs to one event may be told from both sides; two that differ are looked into.
            twice += before == ending ? 0 : 1;
            return false;
        }
        counts.merge(ending, 1L, Long::sum);
        return true;
    }

    public long of(Ending ending) {
        return counts.getOrDefault(ending, 0L);
    }

    /** Second endings that were told, each with another reason than the first. */
    public long twice() {
        return twice;
    }

    /** Streams without an ending as yet. */
    public long open() {
        return begun - counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
