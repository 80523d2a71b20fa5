package magpiehub.discovery;

/**
 * A snapshot of a {@link RegistryClient}'s state, for {@code /counters}. The actor takes one after each message or
 * timer.
 *
 * @param lastResponseMicros when a registry last responded; 0 before the first response
 */
record RegistryStatistics(
        ListPosition position,
        long version,
        int size,
        long lastResponseMicros,
        long duplicateChanges,
        int held,
        int suppressed,
        MembershipDamping.Statistics membership) {
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * Formats one counter per line. {@code registry_silence_ms} is the time since a registry last responded, or -1
     * before the first response.
     */
    String counterLines(long nowMicros, long bytesRead) {
        long silenceMillis = lastResponseMicros == 0 ? -1 : (nowMicros - lastResponseMicros) / MICROS_PER_MILLI;
        return "registry_version " + version
                + "\nregistry_position " + position.revision()
                + "\nregistry_term " + position.term()
                + "\nregistry_engines " + size
                + "\nregistry_silence_ms " + silenceMillis
                + "\nregistry_bytes_read " + bytesRead
                + "\nregistry_repeats_dropped " + duplicateChanges
                + "\nmembership_held " + held
                + "\nmembership_damped_now " + suppressed
                + "\nmembership_damped " + membership.suppressed()
                + "\nmembership_spared " + membership.exempted()
                + "\n";
    }
}
