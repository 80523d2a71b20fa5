package magpiehub.routing;

import java.util.Arrays;

/**
 * Moving averages of latencies over all replicas by request class, the baseline for the latencies of a single replica.
 * Times are in microseconds.
 */
final class LatencyEstimator {
    /** Weight of the newest value in the moving average. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Values are capped at this multiple of the mean, which limits the effect of outliers. */
    private static final double OUTLIER_CAP = 4;

    /** Lower bound of the mean that a first token is compared with: below it, ratios are noise. */
    private static final long MIN_FIRST_TOKEN_MICROS = 20_000;

    private double[] firstToken = {};
    private double[] completeAnswer = {};
    private double reportedMillis;

    /** Adds the classes of new settings; existing classes keep their means. */
    void resize(int classCount) {
        int length = Math.max(1, classCount);
        firstToken = Arrays.copyOf(firstToken, length);
        completeAnswer = Arrays.copyOf(completeAnswer, length);
    }

    /** Records a time to first token; returns its ratio to the mean without it. */
    double recordFirstToken(int classIndex, long took) {
        double mean = firstToken[classIndex] == 0 ? (double) took : firstToken[classIndex];
        firstToken[classIndex] = updated(mean, (double) took);
        return took / Math.max(MIN_FIRST_TOKEN_MICROS, mean);
    }

    /** Records the time of a complete answer; returns the mean without it. */
    double recordCompleteAnswer(int classIndex, long took) {
        double mean = completeAnswer[classIndex] == 0 ? (double) took : completeAnswer[classIndex];
        completeAnswer[classIndex] = updated(mean, (double) took);
        return mean;
    }

    /** Records a service time from a load report, in milliseconds; returns its ratio to the mean including it. */
    double recordReported(double millis) {
        reportedMillis = updated(reportedMillis == 0 ? millis : reportedMillis, millis);
        return millis / reportedMillis;
    }

    private static double updated(double mean, double value) {
        return mean + (Math.min(value, OUTLIER_CAP * mean) - mean) * NEWEST_WEIGHT;
    }

    /** Returns the mean time of complete answers of a class; 0 before the first. */
    double meanCompleteAnswer(int classIndex) {
        return completeAnswer[classIndex];
    }

    /** Returns the longest of the classes' mean times to first token; 0 before the first. */
    double longestMeanFirstToken() {
        double longest = firstToken[0];
        for (double mean : firstToken) {
            longest = Math.max(longest, mean);
        }
        return longest;
    }
}
