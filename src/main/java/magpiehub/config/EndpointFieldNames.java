package magpiehub.config;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import magpiehub.routing.EndpointState;

/** The names of an entry's fields, and the formats of their values, in the endpoint lists of one source. */
public interface EndpointFieldNames {
    /** The field with this name in the source's JSON; null if it is ignored. */
    EndpointField fieldNamed(String name);

    /**
     * Returns the index of a zone or machine type, which may be given as a number or a name.
     *
     * @param field {@link EndpointField#ZONE} or {@link EndpointField#MACHINE_TYPE}
     * @param parser positioned at the field's value
     */
    int readIndex(EndpointField field, JsonParser parser) throws IOException;

    /** Parses a state of an endpoint. */
    EndpointState parseState(String word);

    /** Converts a start time from the source's unit and clock to microseconds of this process's clock; 0: long ago. */
    long startedAtMicros(double value);
}
