/**
 * Flow control of streamed responses: how many bytes may wait for slow clients, when a silent upstream counts as
 * stalled, and how each stream ended.
 *
 * <p>{@link magpiehub.streaming.FlowController} is what the two sides of a stream use, the client's connection and the
 * upstream's. It puts one lock around three state machines that do no I/O and read no clock:
 * {@link magpiehub.streaming.BufferBudget}, {@link magpiehub.streaming.StallDetector} and
 * {@link magpiehub.streaming.StreamOutcomeCounts}. {@link magpiehub.streaming.StreamLimits} are the settings of
 * {@code deploy/streams.json}.
 */
package magpiehub.streaming;
