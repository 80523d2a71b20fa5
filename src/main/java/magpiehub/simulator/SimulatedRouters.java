package magpiehub.simulator;

import java.util.HashMap;
import java.util.Map;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettingsParser;
import magpiehub.routing.RoutingEvents;
import magpiehub.routing.RoutingPolicy;
import magpiehub.routing.RoutingSettings;

/** The simulated routers that are running, by instance number: a routing policy for each. Not thread-safe. */
final class SimulatedRouters {
    private final Reply reply;
    private final Map<Integer, RoutingEvents> policies = new HashMap<>();

    /** A table without routers; the actions of each go to {@code reply}. */
    SimulatedRouters(Reply reply) {
        this.reply = reply;
    }

    /** Starts a router with the message's settings and seed; replaces one with the same number. */
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

    /** Stops the router that the message names, if it runs. */
    void remove(MessageFields fields) {
        policies.remove(fields.requireInstance());
    }

    /**
     * Hands the message's event to the router that it names.
     *
     * @throws MalformedMessageException if that router does not run, or the message is no event
     */
    void deliver(MessageFields fields, long nowMicros) {
        RoutingEvents policy = policies.get(fields.requireInstance());
        if (policy == null) {
            throw fields.malformed("who", "names an instance that was not started");
        }
        RouterEventDecoder.decode(fields).deliverTo(policy, nowMicros);
    }
}
