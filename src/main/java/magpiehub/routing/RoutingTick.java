package magpiehub.routing;

/** The policy's only periodic timer. */
final class RoutingTick {
    /** Its period, which is shorter than every timeout that depends on it. */
    static final long PERIOD_MICROS = 50_000;

    /** The token that identifies its events. */
    static final long TIMER_TOKEN = 1;

    private RoutingTick() {}
}
