package magpiehub.dispatch;

import java.util.List;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;

/** The engines. Called from the module's thread only; must not block it. */
public interface UpstreamFleet {
    AttemptHandle start(RequestDispatcher.Attempt attempt);

    void probe(String server);

    void closeIdle(String server);

    /** The list as the module has it now. */
    void list(EndpointListKind kind, List<Endpoint> servers);
}
