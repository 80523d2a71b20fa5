/**
 * Operator commands: taking replicas and sites out of service, standby, and status.
 *
 * <p>{@link magpiehub.admin.AdminServer} accepts one command line per connection.
 * {@link magpiehub.admin.AdminCommandHandler} executes it on the current {@link magpiehub.admin.MaintenanceState},
 * stores the new state in a file that both router processes of an upgrade share, and applies it to the router through
 * {@link magpiehub.admin.MaintenanceActions}. {@code AdminCommandInterpreter} and the state are free of I/O.
 */
package magpiehub.admin;
