package magpiehub;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Gives some threads of a process priority over its others, in the scheduler's first-in-first-out class. One shell
 * makes all changes, since a process for each would disturb the run that is observed.
 */
final class FifoScheduling implements AutoCloseable {
    private static final int MAX_PRIORITIZED_THREADS = 3;

    private final Process shell;
    private final OutputStream commands;
    private final List<Long> prioritizedThreadIds = new ArrayList<>();

    FifoScheduling() throws IOException {
        shell = new ProcessBuilder("sh")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        commands = shell.getOutputStream();
    }

    /** Whether this process may use the scheduling class. */
    static boolean isAllowed() throws Exception {
        return new ProcessBuilder("chrt", "-f", "1", "true")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor()
                == 0;
    }

    /** Resets the prioritized threads and picks others at random; returns how many were picked. */
    int changePrioritizedThreads(List<ThreadSample> threads, SplittableRandom random) throws IOException {
        StringBuilder command = new StringBuilder();
        prioritizedThreadIds.forEach(
                id -> command.append("chrt -f -p 1 ").append(id).append(';'));
        prioritizedThreadIds.clear();
        for (int remaining = random.nextInt(MAX_PRIORITIZED_THREADS + 1);
                remaining > 0 && !threads.isEmpty();
                remaining--) {
            prioritizedThreadIds.add(threads.get(random.nextInt(threads.size())).id());
        }
        prioritizedThreadIds.forEach(
                id -> command.append("chrt -f -p 2 ").append(id).append(';'));
        execute(command.append(':').toString());
        return prioritizedThreadIds.size();
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
