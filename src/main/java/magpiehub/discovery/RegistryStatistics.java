package magpiehub.discovery;

/**
 * The state of a {@link RegistryClient} after a turn of its actor, for {@code /counters}.
 *
 * @param lastAnswerMicros when a registry last answered; 0 before the first answer
 */
record RegistryStatistics(
        ListPosition position,
        long version,
        int size,
        long lastAnswerMicros,
        long duplicateChanges,
        int held,
        int suppressed,
        MembershipDamping.Statistics membership) {
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * One counter a line; {@code registry_silence_ms} is how long no registry has answered, -1 before one has.
     */
    String counterLines(long nowMicros, long bytesRead) {
        long silenceMillis = lastAnswerMicros == 0 ? -1 : (nowMicros - lastAnswerMicros) / MICROS_PER_MILLI;
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
