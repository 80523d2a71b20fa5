package magpiehub.routing;

/** A replica of a {@link DecisionScenario}: its endpoint list entry and how fast it answers. */
final class SimulatedReplica {
    final String id;
    final int zone;
    final int cell;
    final double weight;
    final double latencyFactor;
    EndpointState state = EndpointState.LIVE;
    long startedAt;
    int inFlight;

    SimulatedReplica(String id, int zone, int cell, double weight, double latencyFactor) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.weight = weight;
        this.latencyFactor = latencyFactor;
    }
}
