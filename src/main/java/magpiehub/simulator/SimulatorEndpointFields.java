package magpiehub.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import magpiehub.config.ConfigurationException;
import magpiehub.config.EndpointField;
import magpiehub.config.EndpointFieldNames;
import magpiehub.config.Json;
import magpiehub.config.Milliseconds;
import magpiehub.routing.EndpointState;

/** The simulator's field names for endpoint list entries; zones and machine types are given as indexes. */
final class SimulatorEndpointFields implements EndpointFieldNames {
    @Override
    public EndpointField fieldNamed(String name) {
        return switch (name) {
            case "engine" -> EndpointField.ID;
            case "failureDomain" -> EndpointField.ZONE;
            case "familyType" -> EndpointField.MACHINE_TYPE;
            case "pod" -> EndpointField.CELL;
            case "state" -> EndpointField.STATE;
            case "powerHint" -> EndpointField.WEIGHT;
            case "onlineSinceMs" -> EndpointField.STARTED_AT;
            default -> null;
        };
    }

    @Override
    public int readIndex(EndpointField field, JsonParser parser) throws IOException {
        return (int) Json.requireNumber(parser, field.label());
    }

    @Override
    public EndpointState parseState(String state) {
        return switch (state) {
            case "live" -> EndpointState.LIVE;
            case "quiescing" -> EndpointState.DRAINING;
            case "dead" -> EndpointState.DEAD;
            default -> throw new ConfigurationException("unknown state: " + state);
        };
    }

    @Override
    public long startedAtMicros(double millis) {
        return Milliseconds.toMicros(millis);
    }
}
