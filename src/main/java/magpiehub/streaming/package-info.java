/**
 * Flow control of streamed responses: how many bytes may be buffered for slow clients, when a silent upstream counts as
 * stalled, and how each stream ended.
 *
 * <p>{@link magpiehub.streaming.FlowController} is used by both sides of a stream, the client connection and the
 * upstream connection. With one lock it guards three classes that do no I/O and read no clock:
 * {@link magpiehub.streaming.BufferBudget}, {@link magpiehub.streaming.StallDetector} and
 * {@link magpiehub.streaming.StreamOutcomeCounts}. {@link magpiehub.streaming.StreamLimits} holds the settings of
 * {@code deploy/streams.json}.
 */
package magpiehub.streaming;
