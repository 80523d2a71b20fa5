package magpiehub.routing;

/**
 * An entry of the endpoint list.
 *
 * @param id identifies the replica across restarts
 * @param zone index of its zone
 * @param machineType index of its machine type
 * @param cell number of its cell, a group within a zone
 * @param state whether it takes requests
 * @param weight its size, interpreted according to {@link WeightMeaning}
 * @param startedAt start time in microseconds of the host's clock; 0 if it started long ago
 */
public record Endpoint(
        String id, int zone, int machineType, int cell, EndpointState state, double weight, long startedAt) {}
