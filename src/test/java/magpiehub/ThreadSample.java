package magpiehub;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The scheduling statistics of a thread at one moment, read from /proc.
 *
 * @param id the kernel's thread id
 * @param userTicks total CPU time in user mode, in clock ticks
 * @param systemTicks total CPU time in kernel mode, in clock ticks
 * @param waits number of voluntary context switches so far
 */
record ThreadSample(long id, String name, long userTicks, long systemTicks, long waits) {
    /** The kernel's clock ticks per second. */
    static final long TICKS_PER_SECOND = 100;

    /** Field indices in the {@code stat} file, counted from the field after the thread's name. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;

    /** Samples each thread of a process, in the order of their ids as strings. */
    static List<ThreadSample> ofProcess(long pid) throws IOException {
        List<Path> tasks;
        try (var files = Files.list(Path.of("/proc/" + pid + "/task"))) {
            tasks = files.sorted().toList();
        }
        List<ThreadSample> samples = new ArrayList<>();
        for (Path task : tasks) {
            try {
                samples.add(read(task));
            } catch (IOException | UncheckedIOException e) {
                // The thread has ended meanwhile.
            }
        }
        return samples;
    }

    private static ThreadSample read(Path task) throws IOException {
        String stat = Files.readString(task.resolve("stat"));
        long waits = readWaits(task);
        int nameEnd = stat.lastIndexOf(')');
        String[] fields = stat.substring(nameEnd + 2).split(" ");
        return new ThreadSample(
                Long.parseLong(task.getFileName().toString()),
                stat.substring(stat.indexOf('(') + 1, nameEnd),
                Long.parseLong(fields[USER_TICKS_FIELD]),
                Long.parseLong(fields[SYSTEM_TICKS_FIELD]),
                waits);
    }

    private static long readWaits(Path task) throws IOException {
        return Files.readAllLines(task.resolve("status")).stream()
                .filter(line -> line.startsWith("voluntary"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }
}
