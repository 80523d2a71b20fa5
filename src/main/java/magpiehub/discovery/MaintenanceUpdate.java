package magpiehub.discovery;

import java.util.Map;
import java.util.Set;

/**
 * The complete state of the operators' maintenance, as sent to the thread of an {@link EndpointSource}.
 *
 * @param outOfService ids of endpoints that operators have taken out of service
 * @param returnedAtMicros when other endpoints were returned to service, on the monotonic clock
 * @param onApplied runs on the dispatcher's thread once the dispatcher uses the update
 */
public record MaintenanceUpdate(Set<String> outOfService, Map<String, Long> returnedAtMicros, Runnable onApplied) {}
