package magpiehub.routing;

/** The policy's one periodic timer. */
final class RoutingTick {
    /** Its period in microseconds: finer than any timeout that it serves. */
    static final long PERIOD_MICROS = 50_000;

    /** The token by which its events are known. */
    static final long TIMER_TOKEN = 1;

    private RoutingTick() {}
}
