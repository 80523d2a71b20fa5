package magpiehub.discovery;

/**
 * The backoff settings of {@link RegistryEndpoints}.
 *
 * @param baseMicros the shortest wait after a failure
 * @param capMicros the longest wait after a failure
 * @param spreadMicros the interval over which routers that lost their connections at the same time spread their
 *     reconnects
 */
public record BackoffSettings(long baseMicros, long capMicros, long spreadMicros) {}
