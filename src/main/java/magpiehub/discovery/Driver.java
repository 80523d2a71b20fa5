package magpiehub.discovery;

import java.io.IOException;
import java.util.List;

/**
 * A registry's dialect: how its list is asked for and what its answers mean. It owns nothing but what its
 * calls need (a login's token). It must never decide what is current, when to ask, or whom: it runs one call
 * on one wire, on a channel's thread, hands each whole word to the sink, and returns when the call is over.
 */
interface Driver {
    /** The registry answered, with an error: its link is well. */
    class Answer extends IOException {
        private static final long serialVersionUID = 1L;

        Answer(String message) {
            super(message);
        }
    }

    /** What a call tells. Each word is complete: a line, a page or a burst that was cut off tells nothing. */
    interface Sink {
        /** A watch has opened on a registry at this position. */
        void opened(View.Position header) throws IOException, InterruptedException;

        void whole(View.Position to, List<View.Item> items) throws IOException, InterruptedException;

        void changes(View.Position to, List<View.Item> items) throws IOException, InterruptedException;

        /** Before a watch goes on: see {@link View#resumed}. */
        void resumed(View.Position of, List<View.Item> last, long count) throws IOException, InterruptedException;

        /** The changes asked for are not to be had: compacted, or not there yet. */
        void compacted(String why) throws IOException, InterruptedException;

        /** See {@link View#checked}. */
        void checked(View.Position of, long newest, long count) throws IOException, InterruptedException;
    }

    /** Reads the whole list: one {@link Sink#whole}. */
    void list(Wire wire, Sink to) throws IOException, InterruptedException;

    /** Waits for what comes after a position. */
    void watch(Wire wire, View.Position from, Sink to) throws IOException, InterruptedException;

    /** Asks cheaply where the registry stands: one {@link Sink#checked}. */
    void check(Wire wire, Sink to) throws IOException, InterruptedException;

    /** Whether each answer to a watch is a whole list, and the end of that call. */
    boolean answersWhole();

    /** How long a watch may say nothing (us); {@link Long#MAX_VALUE} where only checks tell. */
    long quiet();
}
