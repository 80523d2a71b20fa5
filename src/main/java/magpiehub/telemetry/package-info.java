/**
 * Log events and counters.
 *
 * <p>The rest of the program reports to the {@link magpiehub.telemetry.EventLog} port;
 * {@link magpiehub.telemetry.SyslogEventLog} implements it with RFC 5424 messages and counters in memory.
 */
package magpiehub.telemetry;
