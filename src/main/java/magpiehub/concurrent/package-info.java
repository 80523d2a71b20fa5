/**
 * Actors and their threads: the mailbox through which an actor receives its messages, the pool on which actors without
 * a thread of their own run, a pool for work that blocks, and the clock that all waits are measured by.
 *
 * <p>Each class says which monitor guards what. The package imports no other package of the project.
 */
package magpiehub.concurrent;
