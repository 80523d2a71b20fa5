package magpiehub.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One engine stand-in as a model: steps that read prompts in chunks and give each running sequence a token,
 * a queue, prompts kept, a cold start that warms, and the fall of a cold engine under too much work. It owns
 * the engine's time: how long a step takes. A plain state machine, the clock as an argument; it knows no
 * socket and must never wait.
 */
final class Engine {
    /**
     * How engines of a fleet are built.
     *
     * @param slots sequences that run together
     * @param queue sequences that wait at most; one more is turned away
     * @param stepMs a step with all slots taken; an empty one takes half of it
     * @param promptUs reading a prompt's token
     * @param chunk prompt tokens read in a step at most
     * @param event tokens an event
     * @param kept prompt tokens kept for later
     * @param coldMs until an engine that started is warm
     * @param start its speed at its start, against 1
     * @param fallMs work of so long a time makes a cold engine fall
     * @param factor if it is more than so many times what the engine can do meanwhile
     */
    record Build(
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

    /** What becomes of a sequence, told from within {@link #step}. */
    interface Caller {
        /** So many more tokens; {@code last} with the final one. {@code cached} of the prompt were kept. */
        void tokens(int from, int to, boolean last, int cached);
    }

    /** Tokens a block of a prompt that is kept, and characters a token. */
    static final int BLOCK = 16;

    private static final int CHARACTERS = 4;

    /** One request at the engine. */
    static final class Sequence {
        final int prompt;
        final int out;
        final Caller caller;
        /** Each whole block of the prompt, named by all text up to its end. */
        private final long[] blocks;

        private int toRead;
        private int cached;
        private int given;
        private int told;
        private boolean over;

        /** @param text the prompt; prompts share what they have in common from their start */
        Sequence(String text, int out, Caller caller) {
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

    private final Build b;
    private final long started;
    private final List<Sequence> running = new ArrayList<>();
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    /** The blocks kept, the least recently used first. */
    private final Map<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true);
    /** Work that came, with its time, within the last {@code fallMs}. */
    private final ArrayDeque<double[]> came = new ArrayDeque<>();

    private double cameSum;
    private double slow = 1;
    private boolean fallen;

    /** An engine that started at a time (us); long ago if it is to be warm. */
    Engine(Build b, long started) {
        this.b = b;
        this.started = started;
    }

    /** Its speed against a warm engine's. */
    double speed(long now) {
        double part = Math.min(1, Math.max(0, (now - started) / (b.coldMs * 1000.0)));
        return (b.start + (1 - b.start) * part) / slow;
    }

    /** How many times slower than built it is from now on. */
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

    /** What a request takes of a warm engine (us): its steps over the slots, and its reading. */
    static double work(Build b, int prompt, int out) {
        return prompt * b.promptUs + out * b.stepMs * 1000 / b.slots;
    }

    /** Takes a sequence; false if it is turned away. All work that comes counts towards a fall. */
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

    /** The caller has gone. */
    void drop(Sequence s) {
        s.over = true;
        waiting.remove(s);
        running.remove(s);
    }

    /** One step from now on; returns how long it takes (us), 0 if there is nothing to do. What it gives is
     *  told by {@link #give} at its end. */
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

    /** How many of its first blocks are kept. */
    private int known(Sequence s) {
        int n = 0;
        while (n < s.blocks.length && kept.get(s.blocks[n]) != null) {
            n++;
        }
        return n;
    }

    private void keep(Sequence s) {
        for (int i = s.blocks.length - 1; i >= 0; i--) {
            kept.put(s.blocks[i], true); // The last first: what others share is the last to go.
        }
        Iterator<Boolean> oldest = kept.values().iterator();
        while (kept.size() > b.kept / BLOCK) {
            oldest.next();
            oldest.remove();
        }
    }

    /** The end of a step: a token to each sequence that has read its prompt. */
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
