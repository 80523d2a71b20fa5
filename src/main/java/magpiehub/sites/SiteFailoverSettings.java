package magpiehub.sites;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import magpiehub.config.ConfigurationException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.Milliseconds;

/**
 * The settings of site failover, from {@code deploy/site.json}.
 *
 * @param evidenceWindowMicros the time within which all evidence for a loss must have been observed
 * @param failedReplicasForLoss how many replicas of a site must have failed, with none answering, before the site may
 *     be lost; all of them if it has fewer. Must exceed the number of replicas that may be faulty while the site is not
 * @param slowRatio the ratio of the time to the first token to the usual one from which an answer counts as slow
 * @param trialIntervalMicros the first interval between two trials that a router sends to a lost site
 * @param maxTrialIntervalMicros the longest such interval, and the longest step of the recovery ramp after repeated
 *     losses
 * @param rampStepMicros the shortest duration of a step of the recovery ramp
 * @param withdrawalMicros how long the traffic of a withdrawn site takes to fall from all to none
 * @param lossMemoryMicros how long a site must be healthy until its earlier losses no longer count
 * @param maxListAgeMicros the age from which an endpoint list is no evidence of a loss
 */
public record SiteFailoverSettings(
        long evidenceWindowMicros,
        int failedReplicasForLoss,
        double slowRatio,
        long trialIntervalMicros,
        long maxTrialIntervalMicros,
        long rampStepMicros,
        long withdrawalMicros,
        long lossMemoryMicros,
        long maxListAgeMicros) {

    /** Defaults for keys that the file does not have. They suit networks where connecting fails within 250 ms. */
    public static final SiteFailoverSettings DEFAULTS = new SiteFailoverSettings(
            2_000_000, 5, 4, 500_000, 16_000_000, 1_000_000, 3_000_000, 60_000_000, 10_000_000);

    /** All keys that the file may have; each is optional. */
    private static final Set<String> KEYS =
            Set.of("windowMs", "engines", "slow", "trialMs", "longestMs", "stepMs", "gentleMs", "memoryMs", "freshMs");

    private static final double MAX_VALUE = 1e9;

    /**
     * Reads a settings file.
     *
     * @return null if there is no such file: site failover is then off
     * @throws ConfigurationException if the file has an unknown key or a value out of range
     */
    public static SiteFailoverSettings read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ConfigurationObject object = ConfigurationObject.parse(
                Files.readAllBytes(file), file.getFileName().toString());
        for (String key : object.map().keySet()) {
            if (!KEYS.contains(key)) {
                throw new ConfigurationException(object.path() + "." + key + " is not known");
            }
        }
        return new SiteFailoverSettings(
                duration(object, "windowMs", DEFAULTS.evidenceWindowMicros),
                (int) number(object, "engines", DEFAULTS.failedReplicasForLoss),
                number(object, "slow", DEFAULTS.slowRatio),
                duration(object, "trialMs", DEFAULTS.trialIntervalMicros),
                duration(object, "longestMs", DEFAULTS.maxTrialIntervalMicros),
                duration(object, "stepMs", DEFAULTS.rampStepMicros),
                duration(object, "gentleMs", DEFAULTS.withdrawalMicros),
                duration(object, "memoryMs", DEFAULTS.lossMemoryMicros),
                duration(object, "freshMs", DEFAULTS.maxListAgeMicros));
    }

    private static long duration(ConfigurationObject object, String key, long defaultMicros) {
        return Milliseconds.toMicros(number(object, key, defaultMicros / 1000.0));
    }

    private static double number(ConfigurationObject object, String key, double defaultValue) {
        double value = object.number(key, defaultValue);
        // The negated comparison rejects NaN as well.
        if (!(value >= 1) || value > MAX_VALUE) {
            throw new ConfigurationException(object.path() + "." + key + " must be a number from 1 to 1e9");
        }
        return value;
    }
}
