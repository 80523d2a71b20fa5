package magpiehub.config;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import magpiehub.routing.EndpointState;

/** How one sender of endpoint lists names the fields of an entry and expresses their values. */
public interface EndpointFieldNames {
    /** The field with this name in the sender's JSON; null if the program does not read it. */
    EndpointField fieldNamed(String name);

    /**
     * The index of a zone or machine type, which may be given as a number or a name.
     *
     * @param field {@link EndpointField#ZONE} or {@link EndpointField#MACHINE_TYPE}
     * @param parser stands at the field's value
     */
    int readIndex(EndpointField field, JsonParser parser) throws IOException;

    /** The state that a word of the sender's means. */
    EndpointState parseState(String word);

    /** A start in microseconds of the program's clock, from the sender's number; 0 for long ago. */
    long startedAtMicros(double value);
}
