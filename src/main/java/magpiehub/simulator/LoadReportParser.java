package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import magpiehub.config.ConfigurationException;
import magpiehub.routing.LoadReport;

/** Parses a replica's load report. Unknown fields are ignored; absent ones become NaN. */
final class LoadReportParser {
    private LoadReportParser() {}

    /** Reads an object; the parser must be at its start and is left at its end. */
    static LoadReport parse(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new ConfigurationException("must be an object");
        }
        double inFlight = Double.NaN;
        double queue = Double.NaN;
        double utilisation = Double.NaN;
        double latencyMillis = Double.NaN;
        double requestsPerSecond = Double.NaN;
        double errorsPerSecond = Double.NaN;
        double x0 = Double.NaN;
        double x1 = Double.NaN;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "inflight" -> inFlight = JsonValues.readDouble(parser);
                case "queue" -> queue = JsonValues.readDouble(parser);
                case "util" -> utilisation = JsonValues.readDouble(parser);
                case "latency_ms" -> latencyMillis = JsonValues.readDouble(parser);
                case "qps" -> requestsPerSecond = JsonValues.readDouble(parser);
                case "eps" -> errorsPerSecond = JsonValues.readDouble(parser);
                case "x0" -> x0 = JsonValues.readDouble(parser);
                case "x1" -> x1 = JsonValues.readDouble(parser);
                default -> parser.skipChildren();
            }
        }
        return new LoadReport(inFlight, queue, utilisation, latencyMillis, requestsPerSecond, errorsPerSecond, x0, x1);
    }
}
