package magpiehub.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Json;
import magpiehub.telemetry.EventLog;

/**
 * What operators have said, as a file that outlives a process and that both processes of an upgrade share. It
 * owns the file's form: one JSON object, written beside and renamed, changed under a lock on a second
 * file. It must never fail a start: a file that is torn, or not its own, is logged and read as if it were
 * not there.
 */
final class MaintenanceStateFile {
    private static final String FORM = "magpiehub-operators-1";
    private static final long LONGEST = 4 << 20;

    private final Path file;
    private final Path beside;
    private final Path lock;
    private final EventLog journal;
    private Object lastStamp;
    private MaintenanceState.Held last;

    MaintenanceStateFile(Path folder, String router, EventLog journal) {
        String name = "magpiehub-" + router.replaceAll("[^A-Za-z0-9._-]", "_");
        this.file = folder.resolve(name + ".operators");
        this.beside =
                folder.resolve(name + ".operators." + ProcessHandle.current().pid());
        this.lock = folder.resolve(name + ".lock");
        this.journal = journal;
    }

    /** What the file holds; null if there is none that can be used. Read anew only once it has been
     * replaced. */
    synchronized MaintenanceState.Held read() {
        try {
            Object stamp = stamp();
            if (!stamp.equals(lastStamp)) {
                lastStamp = stamp; // A bad file is named once.
                last = null;
                if (Files.size(file) > LONGEST) {
                    throw new ConfigurationException("too long");
                }
                last = parse(Files.readAllBytes(file));
            }
            return last;
        } catch (NoSuchFileException e) {
            lastStamp = null;
            last = null;
        } catch (IOException | RuntimeException e) {
            journal.count("operators_file_unreadable");
            journal.log("operators-file-unreadable", "file", file.toString(), "error", String.valueOf(e.getMessage()));
        }
        return null;
    }

    /** The file is only ever replaced whole: another one is another file. */
    private Object stamp() throws IOException {
        var a = Files.readAttributes(file, java.nio.file.attribute.BasicFileAttributes.class);
        return java.util.Arrays.asList(a.fileKey(), a.lastModifiedTime(), a.size());
    }

    /** Changes what the file holds, whichever process changed it last. {@code known} is what this process
     *  goes by if there is no file that can be used. */
    synchronized MaintenanceState.Held change(MaintenanceState.Held known, UnaryOperator<MaintenanceState.Held> how)
            throws IOException {
        try (FileChannel c = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock l = c.lock()) {
            MaintenanceState.Held was = read();
            MaintenanceState.Held now = how.apply(was == null ? known : was);
            if (!now.equals(was)) {
                Files.write(beside, format(now));
                Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                lastStamp = stamp();
                last = now;
            }
            return now;
        }
    }

    static MaintenanceState.Held parse(byte[] json) throws IOException {
        ConfigurationObject f = ConfigurationObject.parse(json, "operators");
        if (!f.text("form", "").equals(FORM)) {
            throw new ConfigurationException("not a file of this program's");
        }
        Map<String, Long> back = new LinkedHashMap<>();
        for (ConfigurationObject b : f.objects("back")) {
            back.put(b.text("id", ""), (long) b.number("at", 0));
        }
        Set<Long> routers = new LinkedHashSet<>();
        f.numbers("routers").forEach(d -> routers.add(d.longValue()));
        return new MaintenanceState.Held(
                (long) f.number("version", 0),
                f.flag("standby", false),
                new LinkedHashSet<>(f.texts("banned")),
                back,
                new LinkedHashSet<>(f.texts("listed")),
                routers,
                new LinkedHashSet<>(f.texts("sites")));
    }

    static byte[] format(MaintenanceState.Held h) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = Json.FACTORY.createGenerator(out)) {
            g.writeStartObject();
            g.writeStringField("form", FORM);
            g.writeNumberField("version", h.version());
            g.writeBooleanField("standby", h.standby());
            texts(g, "banned", h.banned());
            g.writeArrayFieldStart("back");
            for (Map.Entry<String, Long> e : h.back().entrySet()) {
                g.writeStartObject();
                g.writeStringField("id", e.getKey());
                g.writeNumberField("at", e.getValue());
                g.writeEndObject();
            }
            g.writeEndArray();
            texts(g, "listed", h.listed());
            texts(g, "sites", h.sites());
            g.writeArrayFieldStart("routers");
            for (long r : h.routers()) {
                g.writeNumber(r);
            }
            g.writeEndArray();
            g.writeEndObject();
        }
        return out.toByteArray();
    }

    private static void texts(JsonGenerator g, String name, Set<String> texts) throws IOException {
        g.writeArrayFieldStart(name);
        for (String t : texts) {
            g.writeString(t);
        }
        g.writeEndArray();
    }
}
