package magpiehub.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Pipelined requests, and what they reserve of the budget for request bodies. */
class PipelinedRequestsTest {
    private static final int HALF = (int) (RequestBodyBudget.MAX_BYTES / 2);

    private final RequestBodyBudget budget = new RequestBodyBudget();
    private final PipelinedRequests requests = new PipelinedRequests(budget);

    private static ClientMessage.RequestReceived request(int reservedBytes) {
        return new ClientMessage.RequestReceived(null, new byte[0], 0, reservedBytes);
    }

    @Test
    void theBudgetIsNeverExceeded() {
        assertTrue(budget.tryReserve(HALF));
        assertTrue(budget.tryReserve(HALF));
        assertFalse(budget.tryReserve(1));
        budget.release(1);
        assertTrue(budget.tryReserve(1), "a failed reservation reserves nothing");
    }

    @Test
    void requestsWaitInTheirOrderUpToALimit() {
        for (int i = 0; i < PipelinedRequests.MAX_WAITING; i++) {
            assertTrue(requests.offer(request(i)));
        }
        assertFalse(requests.offer(request(9)));
        for (int i = 0; i < PipelinedRequests.MAX_WAITING; i++) {
            assertEquals(i, requests.poll().reservedBytes());
        }
        assertTrue(requests.isEmpty());
        assertNull(requests.poll());
    }

    @Test
    void theStartedRequestIsReleasedOnce() {
        assertTrue(budget.tryReserve(HALF));
        assertTrue(budget.tryReserve(HALF));
        requests.start(request(HALF));
        requests.finishStarted();
        requests.finishStarted();
        requests.releaseAll();
        assertTrue(budget.tryReserve(HALF));
        assertFalse(budget.tryReserve(1));
    }

    @Test
    void theEndReleasesTheStartedAndTheWaiting() {
        assertTrue(budget.tryReserve(HALF));
        assertTrue(budget.tryReserve(HALF));
        requests.start(request(HALF));
        requests.offer(request(HALF));
        requests.releaseAll();
        assertTrue(budget.tryReserve(2 * HALF));
    }
}
