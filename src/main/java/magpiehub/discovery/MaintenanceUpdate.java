package magpiehub.discovery;

import java.util.Map;
import java.util.Set;

/**
 * The complete state of the operators' maintenance, on its way to the thread of an {@link EndpointSource}.
 *
 * @param outOfService ids of endpoints that operators have taken out of service
 * @param backSinceMicros when other endpoints were put back into service, on the monotonic clock
 * @param onApplied runs on the dispatcher's thread once the dispatcher goes by the update
 */
public record MaintenanceUpdate(Set<String> outOfService, Map<String, Long> backSinceMicros, Runnable onApplied) {}
