/**
 * The life cycle of a router process: wiring, signals, configuration reloads, graceful shutdown, and the class data
 * sharing archive that speeds up its start.
 */
package magpiehub.lifecycle;
