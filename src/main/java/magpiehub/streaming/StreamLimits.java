package magpiehub.streaming;

import java.util.List;

/**
 * Limits on streams, from {@code deploy/streams.json}; {@link StreamLimitsReader} reads them. The key, its unit and its
 * default stand with each. {@code docs/ops/streams.md} describes them for operators.
 *
 * @param budgetBytes bytes that all streams together may buffer; {@code budget_kb} (KB, an eighth of the heap)
 * @param sendBufferBytes the system's send buffer of a client's socket, 0 for the system's own choice;
 *     {@code send_buffer_kb} (KB, 0)
 * @param halfClose whether a client that has closed its sending side may read on, where its protocol has a keep-alive
 *     event; {@code half_close} (false)
 * @param logsComplete whether complete streams get a line in the log, too; {@code log_whole} (false)
 * @param stall when a silence is a stall; {@code stall_least_ms} (ms, as {@code silence_ms}), {@code silence_ms} (ms,
 *     2000) and {@code stall_factor} (8)
 * @param classes limits of each class of requests, by its index in the settings; {@code classes} overrides by name
 */
public record StreamLimits(
        long budgetBytes,
        int sendBufferBytes,
        boolean halfClose,
        boolean logsComplete,
        StallLimits stall,
        List<ClassLimits> classes) {
    /**
     * Limits of one class of requests.
     *
     * @param bufferBytes what one stream may buffer before its upstream has to wait; {@code buffer_kb} (KB, 512)
     * @param clientStallMicros how long a client's socket may take nothing while bytes wait; {@code pause_ms} (ms,
     *     30000)
     * @param holdMicros how long a silent upstream is waited for where clients don't resume a stream elsewhere;
     *     {@code hold_ms} (ms, a day)
     * @param commentsMicros how long an upstream may send comments and no event; {@code comments_ms} (ms, a day)
     */
    public record ClassLimits(long bufferBytes, long clientStallMicros, long holdMicros, long commentsMicros) {}

    /** The largest buffer of a stream, over all classes (bytes). */
    long maxBufferBytes() {
        long max = 0;
        for (ClassLimits limits : classes) {
            max = Math.max(max, limits.bufferBytes());
        }
        return max;
    }
}
