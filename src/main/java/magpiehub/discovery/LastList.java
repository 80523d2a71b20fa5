package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import magpiehub.config.Config;
import magpiehub.config.EndpointEntry;

/**
 * The last list on disk, for a start without a registry. The file is a line
 * {@code magpiehub-list 1 AT BYTES CRC} (Unix milliseconds, decimal; length and CRC-32C of what follows) and
 * a JSON object. It owns the file's form. It must never leave half a file under the file's name, or pass on
 * one that is damaged, of another form, or too old. It waits for the disk: its caller is a thread for that
 * alone.
 */
final class LastList {
    private static final String MAGIC = "magpiehub-list";

    /** A list that was read: its entries, how old it is (us), and where in which history it was taken. */
    record Kept(List<View.Item> items, long age, View.Position at) {}

    /** Why a file was not taken; its text is for the log. */
    static final class Unusable extends IOException {
        private static final long serialVersionUID = 1L;

        Unusable(String why) {
            super(why);
        }
    }

    private final Path file;
    private final Entries entries;

    LastList(Path file, Entries entries) {
        this.file = file;
        this.entries = entries;
    }

    /** Writes beside the file, forces it to the disk, and renames it; {@code now} is Unix time (ms). */
    void write(List<EndpointEntry> list, View.Position at, long now) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(list.size() * 160 + 256);
        try (var g = Config.JSON.createGenerator(body)) {
            g.writeStartObject();
            g.writeStringField("history", at.history());
            g.writeStringField("term", Long.toString(at.term()));
            g.writeStringField("position", Long.toString(at.number()));
            g.writeArrayFieldStart("members");
            for (EndpointEntry e : list) {
                g.writeStartObject();
                for (Map.Entry<String, Object> f : entries.write(e).entrySet()) {
                    if (f.getValue() instanceof Double d) {
                        g.writeNumberField(f.getKey(), d);
                    } else {
                        g.writeStringField(f.getKey(), (String) f.getValue());
                    }
                }
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeEndObject();
        }
        byte[] json = body.toByteArray();
        byte[] head = (MAGIC + " 1 " + now + " " + json.length + " " + Long.toHexString(sum(json)) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel c = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.allocate(head.length + json.length)
                    .put(head)
                    .put(json)
                    .flip();
            while (b.hasRemaining()) {
                c.write(b);
            }
            c.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        // Without this a crash of the machine may bring the old name back, which is only an older list.
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
            folder.force(true);
        } catch (IOException e) {
            // Not every file system lets a folder be forced.
        }
    }

    /**
     * The list, or null if there is none.
     *
     * @param now Unix time (ms)
     * @param mostAge us
     * @throws Unusable if it is damaged, too old, or written in the future
     */
    Kept read(long now, long mostAge) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        if (Files.size(file) > RegistryConnection.MAX_RESPONSE_BYTES) {
            throw new Unusable("too large");
        }
        byte[] all = Files.readAllBytes(file);
        int end = 0;
        while (end < all.length && end < 200 && all[end] != '\n') {
            end++;
        }
        String[] head = new String(all, 0, end, StandardCharsets.US_ASCII).split(" ");
        if (head.length != 5 || !head[0].equals(MAGIC)) {
            throw new Unusable("not a list");
        }
        if (!head[1].equals("1")) {
            throw new Unusable("of form " + head[1] + ", this program knows 1");
        }
        byte[] json = java.util.Arrays.copyOfRange(all, Math.min(all.length, end + 1), all.length);
        long at;
        try {
            at = Long.parseLong(head[2]);
            if (json.length != Long.parseLong(head[3]) || sum(json) != Long.parseLong(head[4], 16)) {
                throw new Unusable("damaged");
            }
        } catch (NumberFormatException e) {
            throw new Unusable("damaged head");
        }
        long age = (now - at) * 1000;
        if (age < -60_000_000L) {
            throw new Unusable("from the future: the clock has gone back " + -age / 1_000_000 + " s");
        }
        if (age > mostAge) {
            throw new Unusable(age / 1_000_000 + " s old, at most " + mostAge / 1_000_000 + " s are allowed");
        }
        return parse(json, Math.max(0, age));
    }

    private Kept parse(byte[] json, long age) throws IOException {
        List<View.Item> items = new ArrayList<>();
        String[] history = {"", "0", "-1"};
        try (JsonParser p = Config.JSON.createParser(json)) {
            p.nextToken();
            JsonObjects.forEachMember(p, (q, name) -> {
                switch (name) {
                    case "history" -> history[0] = q.getText();
                    case "term" -> history[1] = q.getText();
                    case "position" -> history[2] = q.getText();
                    case "members" -> {
                        while (q.nextToken() == JsonToken.START_OBJECT) {
                            EndpointEntry e = entries.new Fields().read(q).entry(null);
                            items.add(View.Item.of(e.server().id(), 0, e));
                        }
                    }
                    default -> q.skipChildren();
                }
            });
            return new Kept(
                    items, age, new View.Position(history[0], Long.parseLong(history[1]), Long.parseLong(history[2])));
        } catch (RuntimeException e) {
            // Whole and not readable: zones or kinds have other names now.
            throw new Unusable(String.valueOf(e.getMessage()));
        }
    }

    private static long sum(byte[] b) {
        CRC32C c = new CRC32C();
        c.update(b);
        return c.getValue();
    }
}
