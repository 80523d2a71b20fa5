package magpiehub.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedRequestClaimsTest {
    private static final int IDS = 2000;

    @TempDir
    Path folder;

    private final AtomicLong seconds = new AtomicLong(1_796_000_000);

    @Test
    void aClaimCountsForAllProcessesUntilItIsReleased() throws IOException {
        SharedRequestClaims first = open();
        SharedRequestClaims second = open();
        assertTrue(first.tryClaim("a"));
        assertFalse(first.tryClaim("a"));
        assertFalse(second.tryClaim("a"));
        assertTrue(second.tryClaim("b"));
        first.release("a");
        assertTrue(second.tryClaim("a"));
        assertFalse(first.tryClaim("b"));
    }

    @Test
    void aClaimThatNobodyReleasesEnds() throws IOException {
        SharedRequestClaims claims = open();
        assertTrue(claims.tryClaim("a"));
        seconds.addAndGet(SharedRequestClaims.RETENTION_SECONDS - 1);
        assertFalse(claims.tryClaim("a"));
        seconds.incrementAndGet();
        assertTrue(claims.tryClaim("a"));
    }

    @Test
    void ofTwoProcessesThatClaimAnIdAtTheSameTimeOneSucceeds() throws Exception {
        AtomicInteger claimed = new AtomicInteger();
        ExecutorService processes = Executors.newFixedThreadPool(2);
        for (int process = 0; process < 2; process++) {
            SharedRequestClaims claims = open();
            processes.execute(() -> {
                for (int i = 0; i < IDS; i++) {
                    claimed.addAndGet(claims.tryClaim("id" + i) ? 1 : 0);
                }
            });
        }
        processes.shutdown();
        assertTrue(processes.awaitTermination(60, TimeUnit.SECONDS));
        assertEquals(IDS, claimed.get());
    }

    @Test
    void aFullTableStillTakesClaims() throws IOException {
        SharedRequestClaims claims = open();
        for (int i = 0; i < 40_000; i++) {
            assertTrue(claims.tryClaim("id" + i));
        }
    }

    private SharedRequestClaims open() throws IOException {
        return SharedRequestClaims.open(folder.resolve("claims"), seconds::get);
    }
}
