package magpiehub.config;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import magpiehub.routing.EndpointState;

// ---- Lists of engines -----------------------------------------------------------------------------
/** How a wire names an entry's fields and says zones, kinds, states and times. */
public interface EndpointFieldNames {
    /** The field that a name stands for: id, zone, kind, cell, state, weight, since, address or null. */
    String field(String name);

    /** A zone or kind, given as a number or a name. */
    int number(String field, JsonParser p) throws IOException;

    EndpointState state(String word);

    /** Clock time of a start, from the wire's number. */
    long since(double value);
}
