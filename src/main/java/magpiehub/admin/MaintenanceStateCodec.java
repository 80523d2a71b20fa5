package magpiehub.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Json;

/**
 * The stored format of a {@link MaintenanceState}: one JSON object. Processes of different versions read and write the
 * same file during an upgrade, so the format must not change.
 */
final class MaintenanceStateCodec {
    /** Identifies the file format. */
    private static final String FORM = "magpiehub-operators-1";

    private MaintenanceStateCodec() {}

    /**
     * Parses a stored state. Absent keys take their value in {@link MaintenanceState#INITIAL}.
     *
     * @throws ConfigurationException if the input is not a JSON object in this format
     */
    static MaintenanceState parse(byte[] json) throws IOException {
        ConfigurationObject object = ConfigurationObject.parse(json, "operators");
        if (!object.text("form", "").equals(FORM)) {
            throw new ConfigurationException("form is not " + FORM);
        }
        return new MaintenanceState(
                (long) object.number("version", 0),
                object.flag("standby", false),
                new LinkedHashSet<>(object.texts("banned")),
                parseReturns(object),
                new LinkedHashSet<>(object.texts("listed")),
                parseProcesses(object),
                new LinkedHashSet<>(object.texts("sites")));
    }

    private static Map<String, Long> parseReturns(ConfigurationObject object) {
        Map<String, Long> returnedAtUnixMillis = new LinkedHashMap<>();
        for (ConfigurationObject returned : object.objects("back")) {
            returnedAtUnixMillis.put(returned.text("id", ""), (long) returned.number("at", 0));
        }
        return returnedAtUnixMillis;
    }

    private static Set<Long> parseProcesses(ConfigurationObject object) {
        Set<Long> processes = new LinkedHashSet<>();
        for (Double process : object.numbers("routers")) {
            processes.add(process.longValue());
        }
        return processes;
    }

    static byte[] format(MaintenanceState state) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("form", FORM);
            json.writeNumberField("version", state.version());
            json.writeBooleanField("standby", state.standby());
            writeTexts(json, "banned", state.outOfService());
            writeReturns(json, state.returnedAtUnixMillis());
            writeTexts(json, "listed", state.listedIds());
            writeTexts(json, "sites", state.withdrawnSites());
            writeProcesses(json, state.servingProcesses());
            json.writeEndObject();
        }
        return out.toByteArray();
    }

    private static void writeTexts(JsonGenerator json, String name, Collection<String> texts) throws IOException {
        json.writeArrayFieldStart(name);
        for (String text : texts) {
            json.writeString(text);
        }
        json.writeEndArray();
    }

    private static void writeReturns(JsonGenerator json, Map<String, Long> returnedAtUnixMillis) throws IOException {
        json.writeArrayFieldStart("back");
        for (Map.Entry<String, Long> returned : returnedAtUnixMillis.entrySet()) {
            json.writeStartObject();
            json.writeStringField("id", returned.getKey());
            json.writeNumberField("at", returned.getValue());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeProcesses(JsonGenerator json, Collection<Long> processes) throws IOException {
        json.writeArrayFieldStart("routers");
        for (long process : processes) {
            json.writeNumber(process);
        }
        json.writeEndArray();
    }
}
