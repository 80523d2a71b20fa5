package magpiehub.admin;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.function.UnaryOperator;
import magpiehub.config.ConfigurationException;
import magpiehub.telemetry.EventLog;

/**
 * The file that preserves a {@link MaintenanceState} across restarts and shares it between the two router processes of
 * an upgrade.
 *
 * <p>A change is made under a lock on a second file, written to a temporary file and renamed, so that a reader sees
 * either the old state or the new one. A file that is truncated or has another format is logged and treated as absent,
 * since it must not prevent a router from starting. Safe for use by several threads.
 */
final class MaintenanceStateFile {
    /** Largest file that is read. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    /** Identifies a version of the file. Each change replaces the whole file, which gives it another key. */
    private record FileVersion(Object key, FileTime modified, long size) {
        static FileVersion of(Path path) throws IOException {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            return new FileVersion(attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
        }
    }

    private final Path file;
    private final Path temporaryFile;
    private final Path lockFile;
    private final EventLog log;
    /** The version that was last read or written; null if there was no file. */
    private FileVersion lastVersion;
    /** The state in that version; null if there was no file, or it could not be read. */
    private MaintenanceState lastState;

    MaintenanceStateFile(Path folder, String routerName, EventLog log) {
        String name = "magpiehub-" + routerName.replaceAll("[^A-Za-z0-9._-]", "_");
        this.file = folder.resolve(name + ".operators");
        this.temporaryFile =
                folder.resolve(name + ".operators." + ProcessHandle.current().pid());
        this.lockFile = folder.resolve(name + ".lock");
        this.log = log;
    }

    /** Returns the stored state, or null if there is no valid file. Each version is parsed and logged only once. */
    synchronized MaintenanceState read() {
        try {
            FileVersion version = FileVersion.of(file);
            if (!version.equals(lastVersion)) {
                // Set before the file is parsed, so that an invalid file is logged only once.
                lastVersion = version;
                lastState = null;
                lastState = parseFile();
            }
            return lastState;
        } catch (NoSuchFileException e) {
            lastVersion = null;
            lastState = null;
        } catch (IOException | RuntimeException e) {
            log.count("operators_file_unreadable");
            log.log("operators-file-unreadable", "file", file.toString(), "error", String.valueOf(e.getMessage()));
        }
        return null;
    }

    private MaintenanceState parseFile() throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new ConfigurationException("file is larger than " + MAX_FILE_BYTES + " bytes");
        }
        return MaintenanceStateCodec.parse(Files.readAllBytes(file));
    }

    /**
     * Changes the stored state, whichever process wrote it last, and returns the new state.
     *
     * @param ifAbsent the state to change if there is no valid file
     * @throws IOException if the file can't be locked or written, in which case it is unchanged
     */
    synchronized MaintenanceState change(MaintenanceState ifAbsent, UnaryOperator<MaintenanceState> change)
            throws IOException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock ignored = channel.lock()) {
            MaintenanceState before = read();
            MaintenanceState after = change.apply(before == null ? ifAbsent : before);
            if (!after.equals(before)) {
                write(after);
            }
            return after;
        }
    }

    private void write(MaintenanceState state) throws IOException {
        Files.write(temporaryFile, MaintenanceStateCodec.format(state));
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lastVersion = FileVersion.of(file);
        lastState = state;
    }
}
