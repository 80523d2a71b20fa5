package magpiehub.simulator;

import java.util.HashMap;
import java.util.Map;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettingsParser;
import magpiehub.routing.RoutingEvents;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingSettings;

/** The running simulated routers: one routing policy per instance number. Not thread-safe. */
final class SimulatedRouters {
    private final Reply reply;
    private final Map<Integer, RoutingEvents> policies = new HashMap<>();

    /** Creates an empty table; the actions of all routers are added to {@code reply}. */
    SimulatedRouters(Reply reply) {
        this.reply = reply;
    }

    /** Starts a router with the message's settings and seed, replacing any with the same instance number. */
    void provision(MessageFields fields, long nowMicros) {
        int instance = fields.requireInstance();
        RoutingSettings settings = parseSettings(fields);
        policies.put(instance, new RoutingPolicy(settings, fields.seed, new ReplyActions(instance, reply), nowMicros));
    }

    private static RoutingSettings parseSettings(MessageFields fields) {
        ConfigurationObject settings = new ConfigurationObject(fields.requireSettings(), "facts");
        try {
            return SiteSettingsParser.parse(settings).routing();
        } catch (ConfigurationException e) {
            throw fields.malformed("facts", e.getMessage());
        }
    }

    /** Stops the router that the message names, if it is running. */
    void remove(MessageFields fields) {
        policies.remove(fields.requireInstance());
    }

    /**
     * Delivers the message's event to the router that it names.
     *
     * @throws MalformedMessageException if that router is not running, or the message is not an event
     */
    void deliver(MessageFields fields, long nowMicros) {
        RoutingEvents policy = policies.get(fields.requireInstance());
        if (policy == null) {
            throw fields.malformed("who", "names an instance that was not started");
        }
        RouterEventDecoder.decode(fields).deliverTo(policy, nowMicros);
    }
}
