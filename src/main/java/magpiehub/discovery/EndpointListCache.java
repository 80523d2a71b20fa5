package magpiehub.discovery;

import com.fasterxml.jackson.core.JsonGenerator;
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
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointEntry;
import magpiehub.config.Json;

/**
 * A file that caches the last endpoint list, so that a router can start while no registry is reachable. The file is
 * a header line {@code magpiehub-list 1 TIME BYTES CRC} followed by a JSON object as the body. TIME is the time of
 * writing in Unix milliseconds, BYTES the length of the body, both decimal; CRC is its CRC-32C in hexadecimal.
 *
 * <p>The file is replaced atomically. A file that is damaged, has another format version or is too old is rejected
 * completely. The methods block on disk I/O and must be called on a thread that may block.
 */
final class EndpointListCache {
    private static final String MAGIC = "magpiehub-list";
    private static final String VERSION = "1";
    private static final int HEADER_FIELDS = 5;
    /** An upper bound for the length of the header line. */
    private static final int MAX_HEADER_BYTES = 200;
    /** The same as the limit for one registry response, so that every list that was received fits. */
    private static final int MAX_FILE_BYTES = 64 << 20;
    /** How far in the future the time of writing may be, since the system clock may have been set back. */
    private static final long CLOCK_TOLERANCE_MICROS = 60_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1000;
    /** Used for the initial size of the buffer that a list is written to. */
    private static final int TYPICAL_ENTRY_BYTES = 160;

    private static final int TYPICAL_ENVELOPE_BYTES = 256;

    /**
     * A list read from the file.
     *
     * @param ageMicros the time since it was written
     * @param position the position in the source's history at which the list was read
     */
    record CachedList(List<ListItem> items, long ageMicros, ListPosition position) {}

    /** Thrown if the file contains no list that may be used; the message gives the reason. */
    static final class UnusableCacheException extends IOException {
        private static final long serialVersionUID = 1L;

        UnusableCacheException(String reason) {
            super(reason);
        }
    }

    private record Header(long writtenUnixMillis, long bodyBytes, long checksum) {
        private static Header parse(String line) throws UnusableCacheException {
            String[] fields = line.replaceFirst(" +$", "").split(" ", -1);
            if (fields.length != HEADER_FIELDS || !fields[0].equals(MAGIC)) {
                throw new UnusableCacheException("not an endpoint list file");
            }
            if (!fields[1].equals(VERSION)) {
                throw new UnusableCacheException(
                        "format version " + fields[1] + " is not supported, expected " + VERSION);
            }
            try {
                return new Header(Long.parseLong(fields[2]), Long.parseLong(fields[3]), Long.parseLong(fields[4], 16));
            } catch (NumberFormatException e) {
                throw new UnusableCacheException("malformed header");
            }
        }

        private static String format(long writtenUnixMillis, byte[] body) {
            return String.join(
                            " ",
                            MAGIC,
                            VERSION,
                            Long.toString(writtenUnixMillis),
                            Integer.toString(body.length),
                            Long.toHexString(EndpointListCache.checksum(body)))
                    + "\n";
        }

        private boolean matches(byte[] body) {
            return body.length == bodyBytes && EndpointListCache.checksum(body) == checksum;
        }
    }

    private final Path file;
    private final EndpointEntryParser parser;

    EndpointListCache(Path file, EndpointEntryParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /** Replaces the file: writes a temporary file beside it, syncs that to disk and renames it. */
    void write(List<EndpointEntry> entries, ListPosition position, long nowUnixMillis) throws IOException {
        byte[] body = body(entries, position);
        byte[] header = Header.format(nowUnixMillis, body).getBytes(StandardCharsets.US_ASCII);
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(header.length + body.length)
                    .put(header)
                    .put(body)
                    .flip();
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        // Without this sync, a system crash may undo the rename, which merely restores an older list.
        try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
            directory.force(true);
        } catch (IOException e) {
            // Not every file system supports syncing a directory.
        }
    }

    private byte[] body(List<EndpointEntry> entries, ListPosition position) throws IOException {
        ByteArrayOutputStream body =
                new ByteArrayOutputStream(entries.size() * TYPICAL_ENTRY_BYTES + TYPICAL_ENVELOPE_BYTES);
        try (JsonGenerator json = Json.FACTORY.createGenerator(body)) {
            json.writeStartObject();
            json.writeStringField("history", position.history());
            json.writeStringField("term", Long.toString(position.term()));
            json.writeStringField("position", Long.toString(position.revision()));
            json.writeArrayFieldStart("members");
            for (EndpointEntry entry : entries) {
                parser.write(entry, json);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return body.toByteArray();
    }

    /**
     * Reads the list.
     *
     * @return null if the file does not exist
     * @throws UnusableCacheException if the file is damaged, too old, or has a time of writing in the future
     */
    CachedList read(long nowUnixMillis, long maxAgeMicros) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new UnusableCacheException("larger than " + MAX_FILE_BYTES + " bytes");
        }
        byte[] content = Files.readAllBytes(file);
        int headerEnd = 0;
        while (headerEnd < content.length && headerEnd < MAX_HEADER_BYTES && content[headerEnd] != '\n') {
            headerEnd++;
        }
        Header header = Header.parse(new String(content, 0, headerEnd, StandardCharsets.US_ASCII));
        byte[] body = Arrays.copyOfRange(content, Math.min(content.length, headerEnd + 1), content.length);
        if (!header.matches(body)) {
            throw new UnusableCacheException("damaged");
        }
        long ageMicros = (nowUnixMillis - header.writtenUnixMillis) * MICROS_PER_MILLI;
        if (ageMicros < -CLOCK_TOLERANCE_MICROS) {
            throw new UnusableCacheException(
                    "written " + -ageMicros / MICROS_PER_SECOND + " s in the future; was the system clock set back?");
        }
        if (ageMicros > maxAgeMicros) {
            throw new UnusableCacheException(ageMicros / MICROS_PER_SECOND + " s old, maximum age is "
                    + maxAgeMicros / MICROS_PER_SECOND + " s");
        }
        return parse(body, Math.max(0, ageMicros));
    }

    private CachedList parse(byte[] body, long ageMicros) throws IOException {
        try (JsonParser json = Json.FACTORY.createParser(body)) {
            List<ListItem> items = new ArrayList<>();
            String history = "";
            String term = "0";
            String revision = "-1";
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException("must be an object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                switch (name) {
                    case "history" -> history = json.getText();
                    case "term" -> term = json.getText();
                    case "position" -> revision = json.getText();
                    case "members" -> readItems(json, items);
                    default -> json.skipChildren();
                }
            }
            ListPosition position = new ListPosition(history, Long.parseLong(term), Long.parseLong(revision));
            return new CachedList(items, ageMicros, position);
        } catch (RuntimeException e) {
            // The file is intact, but its entries are invalid, for example because zones or machine types were renamed.
            throw new UnusableCacheException(String.valueOf(e.getMessage()));
        }
    }

    private void readItems(JsonParser json, List<ListItem> items) throws IOException {
        while (json.nextToken() == JsonToken.START_OBJECT) {
            EndpointEntry entry = parser.newEntry().readObject(json).build(null);
            items.add(ListItem.of(entry.endpoint().id(), 0, entry));
        }
    }

    private static long checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }
}
