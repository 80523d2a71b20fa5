package magpiehub;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Gives threads of a process priority over its others, in the scheduler's first-in-first-out class. One shell carries
 * out all changes: a process for each would itself disturb what is shown.
 */
final class FifoScheduling implements AutoCloseable {
    private static final int MAX_THREADS_AHEAD = 3;

    private final Process shell;
    private final OutputStream commands;
    private final List<Long> threadsAhead = new ArrayList<>();

    FifoScheduling() throws IOException {
        shell = new ProcessBuilder("sh")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        commands = shell.getOutputStream();
    }

    /** Whether this process has the right to use the class. */
    static boolean isAllowed() throws Exception {
        return new ProcessBuilder("chrt", "-f", "1", "true")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor()
                == 0;
    }

    /** Takes the threads that run ahead back, and lets others do so; returns how many. */
    int changeThreadsAhead(List<ThreadSample> threads, SplittableRandom random) throws IOException {
        StringBuilder command = new StringBuilder();
        threadsAhead.forEach(id -> command.append("chrt -f -p 1 ").append(id).append(';'));
        threadsAhead.clear();
        for (int left = random.nextInt(MAX_THREADS_AHEAD + 1); left > 0 && !threads.isEmpty(); left--) {
            threadsAhead.add(threads.get(random.nextInt(threads.size())).id());
        }
        threadsAhead.forEach(id -> command.append("chrt -f -p 2 ").append(id).append(';'));
        execute(command.append(':').toString());
        return threadsAhead.size();
    }

    private void execute(String line) throws IOException {
        commands.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        commands.flush();
    }

    @Override
    public void close() throws IOException {
        commands.close();
        shell.destroyForcibly();
    }
}
