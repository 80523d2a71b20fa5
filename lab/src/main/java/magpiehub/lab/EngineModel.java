package magpiehub.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of one inference engine with continuous batching: each step prefills prompts in chunks and generates one token
 * per running sequence. Models queueing, a prefix cache, a cold start with a gradual warm-up, and the crash of a cold
 * engine under overload. It determines how long each step takes. A pure state machine that takes the clock as an
 * argument: it performs no I/O and never blocks.
 */
final class EngineModel {
    /**
     * Performance parameters of the engines; the names are those of the scenario file.
     *
     * @param slots maximum number of sequences that run concurrently
     * @param queue maximum number of waiting sequences; further ones are rejected
     * @param stepMs duration of a step with all slots in use; the duration approaches half of it with few
     * @param promptUs prefill time per prompt token
     * @param chunk maximum number of prompt tokens prefilled per step
     * @param event tokens per stream event
     * @param kept capacity of the prefix cache in tokens
     * @param coldMs warm-up time after the start
     * @param start speed at the start, relative to 1 when warm
     * @param fallMs window over which arriving work is summed to detect the overload of a cold engine
     * @param factor a cold engine crashes if work in the window exceeds its capacity by this factor
     */
    record Parameters(
            int slots,
            int queue,
            double stepMs,
            double promptUs,
            int chunk,
            int event,
            int kept,
            long coldMs,
            double start,
            long fallMs,
            double factor) {}

    /** Receives the generated tokens of a sequence; called by {@link #give}. */
    interface TokenListener {
        /**
         * Called for tokens {@code from} (inclusive) to {@code to} (exclusive).
         *
         * @param last whether the stream ends with them
         * @param cached prompt tokens that were found in the prefix cache
         */
        void tokens(int from, int to, boolean last, int cached);
    }

    /** Tokens per block of the prefix cache. */
    static final int BLOCK = 16;

    /** Characters per token. */
    private static final int CHARACTERS = 4;

    /** One request being processed by the engine. */
    static final class Sequence {
        final int prompt;
        final int out;
        final TokenListener caller;
        /** Keys of the prompt's complete blocks: hashes of all text up to the block's end. */
        private final long[] blocks;

        private int toRead;
        private int cached;
        private int given;
        private int told;
        private boolean over;

        /** @param text the prompt; prompts with a common prefix share its blocks */
        Sequence(String text, int out, TokenListener caller) {
            this.prompt = text.length() / CHARACTERS;
            this.out = Math.max(1, out);
            this.caller = caller;
            this.blocks = new long[prompt / BLOCK];
            long name = 1;
            for (int i = 0, at = 0; i < blocks.length; i++) {
                for (int end = at + BLOCK * CHARACTERS; at < end; at++) {
                    name = name * 0x100000001b3L ^ text.charAt(at);
                }
                blocks[i] = name;
            }
        }
    }

    private final Parameters b;
    private final long started;
    private final List<Sequence> running = new ArrayList<>();
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    /** The prefix cache's blocks, least recently used first. */
    private final Map<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true);
    /** Arrival time and work (us) of the requests within the last {@code fallMs}. */
    private final ArrayDeque<double[]> came = new ArrayDeque<>();

    private double cameSum;
    private double slow = 1;
    private boolean fallen;

    /** Creates an engine that started at the given time (us); a time in the distant past makes it warm. */
    EngineModel(Parameters b, long started) {
        this.b = b;
        this.started = started;
    }

    /** Current speed relative to a warm engine. */
    double speed(long now) {
        double part = Math.min(1, Math.max(0, (now - started) / (b.coldMs * 1000.0)));
        return (b.start + (1 - b.start) * part) / slow;
    }

    /** Sets the factor by which the engine is slower than its parameters say. */
    void slow(double factor) {
        slow = factor;
    }

    boolean fallen() {
        return fallen;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    /** Engine time that a request costs on a warm engine (us): prefill, and its steps divided by the slots. */
    static double work(Parameters b, int prompt, int out) {
        return prompt * b.promptUs + out * b.stepMs * 1000 / b.slots;
    }

    /** Enqueues a sequence; returns false if it is rejected. Rejected work counts towards overload too. */
    boolean take(Sequence s, long now) {
        double work = work(b, s.prompt, s.out);
        came.addLast(new double[] {now, work});
        cameSum += work;
        while (came.peekFirst()[0] < now - b.fallMs * 1000.0) {
            cameSum -= came.pollFirst()[1];
        }
        if (now - started < b.coldMs * 1000 && cameSum > b.factor * speed(now) * b.fallMs * 1000) {
            fallen = true;
        }
        if (fallen || waiting.size() >= b.queue) {
            return false;
        }
        waiting.addLast(s);
        return true;
    }

    /** Cancels a sequence. */
    void drop(Sequence s) {
        s.over = true;
        waiting.remove(s);
        running.remove(s);
    }

    /** Starts a step; returns its duration (us), or 0 if idle. {@link #give} emits its tokens when it ends. */
    long step(long now) {
        while (running.size() < b.slots && !waiting.isEmpty()) {
            Sequence s = waiting.pollFirst();
            s.cached = known(s) * BLOCK;
            s.toRead = s.prompt - s.cached;
            running.add(s);
        }
        if (running.isEmpty()) {
            return 0;
        }
        int read = 0;
        for (Sequence s : running) {
            int n = Math.min(s.toRead, b.chunk - read);
            s.toRead -= n;
            read += n;
        }
        double us = b.stepMs * 1000 * (0.5 + 0.5 * running.size() / b.slots) + read * b.promptUs;
        return Math.max(1, Math.round(us / speed(now)));
    }

    /** Number of leading blocks that are in the prefix cache. */
    private int known(Sequence s) {
        int n = 0;
        while (n < s.blocks.length && kept.get(s.blocks[n]) != null) {
            n++;
        }
        return n;
    }

    private void keep(Sequence s) {
        for (int i = s.blocks.length - 1; i >= 0; i--) {
            kept.put(
                    s.blocks[i],
                    true); // In reverse, so that the leading blocks, which other prompts share, are evicted last.
        }
        Iterator<Boolean> oldest = kept.values().iterator();
        while (kept.size() > b.kept / BLOCK) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Ends a step: generates one token for each sequence whose prompt has been prefilled. */
    void give() {
        for (Sequence s : List.copyOf(running)) {
            if (s.over || s.toRead > 0) {
                continue;
            }
            s.given++;
            boolean last = s.given >= s.out;
            if (last) {
                running.remove(s);
                s.over = true;
                keep(s);
            }
            if (last || s.given == 1 || s.given - s.told >= b.event) {
                int from = s.told;
                s.told = s.given;
                s.caller.tokens(from, s.given, last, s.cached);
            }
        }
    }
}
