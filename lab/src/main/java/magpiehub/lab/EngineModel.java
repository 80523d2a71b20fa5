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

    /** Receives the generated tokens of a sequence; called by {@link #finishStep}. */
    interface TokenListener {
        /**
         * Called for tokens {@code from} (inclusive) to {@code to} (exclusive).
         *
         * @param last whether the stream ends with them
         * @param cachedTokens prompt tokens that were found in the prefix cache
         */
        void onTokens(int from, int to, boolean last, int cachedTokens);
    }

    /** Tokens per block of the prefix cache. */
    static final int BLOCK_TOKENS = 16;

    /** Characters per token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** One request being processed by the engine. */
    static final class Sequence {
        final int promptTokens;
        final int outputTokens;
        final TokenListener listener;
        /** Keys of the prompt's complete blocks: hashes of all text up to the block's end. */
        private final long[] blockKeys;

        private int remainingPrefill;
        private int cachedTokens;
        private int generatedTokens;
        private int emittedTokens;
        private boolean done;

        /** @param text the prompt; prompts with a common prefix share its blocks */
        Sequence(String text, int outputTokens, TokenListener listener) {
            this.promptTokens = text.length() / CHARACTERS_PER_TOKEN;
            this.outputTokens = Math.max(1, outputTokens);
            this.listener = listener;
            this.blockKeys = new long[promptTokens / BLOCK_TOKENS];
            long key = 1;
            for (int i = 0, position = 0; i < blockKeys.length; i++) {
                for (int end = position + BLOCK_TOKENS * CHARACTERS_PER_TOKEN; position < end; position++) {
                    key = key * 0x100000001b3L ^ text.charAt(position);
                }
                blockKeys[i] = key;
            }
        }
    }

    private final Parameters parameters;
    private final long startedMicros;
    private final List<Sequence> running = new ArrayList<>();
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    /** The prefix cache's blocks, least recently used first. */
    private final Map<Long, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    /** Arrival time and work (us) of the requests within the last {@code fallMs}. */
    private final ArrayDeque<double[]> recentArrivals = new ArrayDeque<>();

    private double recentWork;
    private double slowdown = 1;
    private boolean crashed;

    /** Creates an engine that started at the given time (us); a time in the distant past makes it warm. */
    EngineModel(Parameters parameters, long startedMicros) {
        this.parameters = parameters;
        this.startedMicros = startedMicros;
    }

    /** Current speed relative to a warm engine. */
    double speed(long now) {
        double warmUpShare = Math.min(1, Math.max(0, (now - startedMicros) / (parameters.coldMs * 1000.0)));
        return (parameters.start + (1 - parameters.start) * warmUpShare) / slowdown;
    }

    /** Sets the factor by which the engine is slower than its parameters say. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    boolean hasCrashed() {
        return crashed;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    /** Engine time that a request costs on a warm engine (us): prefill, and its steps divided by the slots. */
    static double workMicros(Parameters parameters, int promptTokens, int outputTokens) {
        return promptTokens * parameters.promptUs + outputTokens * parameters.stepMs * 1000 / parameters.slots;
    }

    /** Enqueues a sequence; returns false if it is rejected. Rejected work counts towards overload too. */
    boolean enqueue(Sequence sequence, long now) {
        double work = workMicros(parameters, sequence.promptTokens, sequence.outputTokens);
        recentArrivals.addLast(new double[] {now, work});
        recentWork += work;
        while (recentArrivals.peekFirst()[0] < now - parameters.fallMs * 1000.0) {
            recentWork -= recentArrivals.pollFirst()[1];
        }
        if (now - startedMicros < parameters.coldMs * 1000
                && recentWork > parameters.factor * speed(now) * parameters.fallMs * 1000) {
            crashed = true;
        }
        if (crashed || waiting.size() >= parameters.queue) {
            return false;
        }
        waiting.addLast(sequence);
        return true;
    }

    /** Cancels a sequence. */
    void cancel(Sequence sequence) {
        sequence.done = true;
        waiting.remove(sequence);
        running.remove(sequence);
    }

    /** Starts a step; returns its duration (us), or 0 if idle. {@link #finishStep} emits its tokens when it ends. */
    long startStep(long now) {
        while (running.size() < parameters.slots && !waiting.isEmpty()) {
            Sequence sequence = waiting.pollFirst();
            sequence.cachedTokens = cachedBlocks(sequence) * BLOCK_TOKENS;
            sequence.remainingPrefill = sequence.promptTokens - sequence.cachedTokens;
            running.add(sequence);
        }
        if (running.isEmpty()) {
            return 0;
        }
        int read = 0;
        for (Sequence sequence : running) {
            int count = Math.min(sequence.remainingPrefill, parameters.chunk - read);
            sequence.remainingPrefill -= count;
            read += count;
        }
        double micros =
                parameters.stepMs * 1000 * (0.5 + 0.5 * running.size() / parameters.slots) + read * parameters.promptUs;
        return Math.max(1, Math.round(micros / speed(now)));
    }

    /** Number of leading blocks that are in the prefix cache. */
    private int cachedBlocks(Sequence sequence) {
        int count = 0;
        while (count < sequence.blockKeys.length && prefixCache.get(sequence.blockKeys[count]) != null) {
            count++;
        }
        return count;
    }

    /** Caches a prompt's blocks in reverse, so that the leading ones, which other prompts share, are evicted last. */
    private void cachePrompt(Sequence sequence) {
        for (int i = sequence.blockKeys.length - 1; i >= 0; i--) {
            prefixCache.put(sequence.blockKeys[i], true);
        }
        Iterator<Boolean> oldest = prefixCache.values().iterator();
        while (prefixCache.size() > parameters.kept / BLOCK_TOKENS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Ends a step: generates one token for each sequence whose prompt has been prefilled. */
    void finishStep() {
        for (Sequence sequence : List.copyOf(running)) {
            if (sequence.done || sequence.remainingPrefill > 0) {
                continue;
            }
            sequence.generatedTokens++;
            boolean last = sequence.generatedTokens >= sequence.outputTokens;
            if (last) {
                running.remove(sequence);
                sequence.done = true;
                cachePrompt(sequence);
            }
            if (last
                    || sequence.generatedTokens == 1
                    || sequence.generatedTokens - sequence.emittedTokens >= parameters.event) {
                int from = sequence.emittedTokens;
                sequence.emittedTokens = sequence.generatedTokens;
                sequence.listener.onTokens(from, sequence.generatedTokens, last, sequence.cachedTokens);
            }
        }
    }
}
