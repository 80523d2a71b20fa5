package magpiehub.streaming;

import java.util.List;

/**
 * Limits on streams, read from {@code deploy/streams.json} by {@link StreamLimitsReader}. Each is documented with its
 * key, unit and default. {@code docs/ops/streams.md} describes them for operators.
 *
 * @param budgetBytes the bytes that all streams together may buffer; {@code budget_kb} (KB, an eighth of the heap)
 * @param sendBufferBytes the size of the send buffer of client sockets, 0 for the operating system's default;
 *     {@code send_buffer_kb} (KB, 0)
 * @param halfClose whether a client that has shut down its sending side may continue to read, if its protocol has a
 *     keep-alive event; {@code half_close} (false)
 * @param logsComplete whether complete streams are logged, too; {@code log_whole} (false)
 * @param stall when a silent upstream counts as stalled; {@code stall_least_ms} (ms, same as {@code silence_ms}),
 *     {@code silence_ms} (ms, 2000) and {@code stall_factor} (8)
 * @param classes the limits of each request class, by its index in the settings; {@code classes} overrides by name
 */
public record StreamLimits(
        long budgetBytes,
        int sendBufferBytes,
        boolean halfClose,
        boolean logsComplete,
        StallLimits stall,
        List<ClassLimits> classes) {
    /**
     * Limits of one request class.
     *
     * @param bufferBytes the buffer size at which the stream's upstream has to wait; {@code buffer_kb} (KB, 512)
     * @param clientStallMicros how long a client's socket may accept nothing while bytes are buffered;
     *     {@code pause_ms} (ms, 30000)
     * @param nonResumableSilenceMicros the minimum time that an upstream may be silent if the client does not resume
     *     streams elsewhere; {@code hold_ms} (ms, 4750)
     * @param commentsOnlyMicros how long an upstream may send comments without an event; {@code comments_ms} (ms, one
     *     day)
     */
    public record ClassLimits(
            long bufferBytes, long clientStallMicros, long nonResumableSilenceMicros, long commentsOnlyMicros) {}

    /** The largest buffer limit of a stream over all classes. */
    long maxBufferBytes() {
        long max = 0;
        for (ClassLimits limits : classes) {
            max = Math.max(max, limits.bufferBytes());
        }
        return max;
    }
}
