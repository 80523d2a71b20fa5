package magpiehub.discovery;

/**
 * The backoff of {@link RegistryEndpoints}. All times are in microseconds.
 *
 * @param baseMicros the shortest wait after a failure
 * @param capMicros the longest wait after a failure
 * @param spreadMicros the interval over which routers that lost their connections together reconnect
 */
public record BackoffSettings(long baseMicros, long capMicros, long spreadMicros) {}
