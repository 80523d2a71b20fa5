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
 * @param evidenceWindowMicros how long evidence counts: a site is lost only if all evidence came within this time
 * @param failedReplicasForLoss how many of a site's replicas must have failed, with none answering, before the site may
 *     be lost; all of them where it has fewer. More than the replicas that may be faulty by themselves
 * @param slowRatio a first token that takes this many times as long as usual counts as slow
 * @param trialIntervalMicros the first interval between two trials of a lost site, which each router sends
 * @param maxTrialIntervalMicros the longest such interval, and the longest step of a site that is lost again and again
 * @param rampStepMicros how long a step of the recovery ramp lasts at least
 * @param withdrawalMicros how long it takes until a withdrawn site gets no traffic
 * @param lossMemoryMicros how long a site must be healthy until its earlier losses are forgotten
 * @param maxListAgeMicros an endpoint list older than this is no evidence of a loss
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

    /** The settings that apply where the file names none. They suit networks whose connections fail within 250 ms. */
    public static final SiteFailoverSettings DEFAULTS = new SiteFailoverSettings(
            2_000_000, 5, 4, 500_000, 16_000_000, 1_000_000, 3_000_000, 60_000_000, 10_000_000);

    /** The keys that a file may have; each is optional. */
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
        // Negated, so that NaN is rejected as well.
        if (!(value >= 1) || value > MAX_VALUE) {
            throw new ConfigurationException(object.path() + "." + key + " must be a number from 1 to 1e9");
        }
        return value;
    }
}
