/**
 * Concurrency utilities: actor mailboxes, the thread pool for actors without a thread of their own, a thread pool for
 * blocking work, and the monotonic clock for all timed waits.
 *
 * <p>Each class documents which monitor guards which state. The package depends on no other package of the project.
 */
package magpiehub.concurrent;
