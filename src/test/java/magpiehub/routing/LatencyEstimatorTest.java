package magpiehub.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the means that latencies are compared with. */
class LatencyEstimatorTest {
    private static LatencyEstimator estimator() {
        LatencyEstimator estimator = new LatencyEstimator();
        estimator.resize(2);
        return estimator;
    }

    @Test
    void theFirstValueIsTheMeanAndLaterOnesMoveItSlowly() {
        LatencyEstimator estimator = estimator();
        assertEquals(1, estimator.recordFirstToken(0, 100_000));
        assertEquals(2, estimator.recordFirstToken(0, 200_000));
        assertEquals(105_000, estimator.longestMeanFirstToken(), 1e-6);
    }

    @Test
    void anOutlierCountsAsFourTimesTheMean() {
        LatencyEstimator estimator = estimator();
        estimator.recordCompleteAnswer(1, 100_000);
        assertEquals(100_000, estimator.recordCompleteAnswer(1, 9_000_000), "the mean before it");
        assertEquals(115_000, estimator.meanCompleteAnswer(1), 1e-6);
        assertEquals(0, estimator.meanCompleteAnswer(0), "classes are independent");
    }

    @Test
    void ratiosToShortMeansUseALowerBound() {
        LatencyEstimator estimator = estimator();
        assertEquals(0.05, estimator.recordFirstToken(0, 1_000));
        assertEquals(1, estimator.recordFirstToken(0, 20_000));
    }

    @Test
    void newClassesDoNotChangeExistingMeans() {
        LatencyEstimator estimator = estimator();
        estimator.recordFirstToken(1, 70_000);
        estimator.resize(3);
        assertEquals(70_000, estimator.longestMeanFirstToken());
    }
}
