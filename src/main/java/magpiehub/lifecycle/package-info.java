/**
 * A router process from its start to its end: wiring, signals, reloads, graceful shutdown, and the archive of its
 * classes that makes the next start cheaper.
 */
package magpiehub.lifecycle;
