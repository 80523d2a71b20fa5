package magpiehub.discovery;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import magpiehub.concurrent.MonotonicClock;

/** The baseline for the client's cost: reads the complete list each second instead of watching it. */
final class PollingBaseline extends Thread {
    private static final long INTERVAL_NANOS = 1_000_000_000L;
    private static final long MAX_PARK_NANOS = 100_000_000;
    private static final int TIMEOUT_MILLIS = 800;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final AtomicLong bytesRead = new AtomicLong();
    /** The CPU time of this thread. */
    volatile long cpuNanos;

    private final RegistryProtocol protocol;
    private final FakeRegistry registry;
    private final MonotonicClock clock;
    private volatile boolean stopped;

    PollingBaseline(RegistryProtocol protocol, FakeRegistry registry, MonotonicClock clock) {
        this.protocol = protocol;
        this.registry = registry;
        this.clock = clock;
        setDaemon(true);
    }

    void stopPolling() {
        stopped = true;
    }

    @Override
    public void run() {
        ListApplier applier = new ListApplier();
        RegistryConnection connection = null;
        for (int i = 0; !stopped; i++) {
            long next = System.nanoTime() + INTERVAL_NANOS;
            try {
                if (connection == null || connection.isClosed()) {
                    String endpoint = registry.addresses().get(i % registry.endpoints.size());
                    connection = new RegistryConnection(endpoint, null, clock, bytesRead);
                    connection.connect(TIMEOUT_MILLIS);
                    connection.setReadTimeout(TIMEOUT_MILLIS);
                }
                protocol.readList(connection, applier);
            } catch (IOException | InterruptedException | RuntimeException e) {
                if (connection != null) {
                    connection.close();
                }
            }
            cpuNanos = THREADS.getCurrentThreadCpuTime();
            while (!stopped && System.nanoTime() < next) {
                LockSupport.parkNanos(Math.max(1, Math.min(MAX_PARK_NANOS, next - System.nanoTime())));
            }
        }
    }

    /** Applies complete lists and ignores other events. */
    private static final class ListApplier implements RegistryEventListener {
        private final EndpointListState list = new EndpointListState();

        @Override
        public void onCompleteList(ListPosition position, List<ListItem> items) {
            list.applyCompleteList(position, list.position(), items, true);
        }

        @Override
        public void onWatchOpened(ListPosition header) {}

        @Override
        public void onChanges(ListPosition position, List<ListItem> items) {}

        @Override
        public void onWatchResumed(ListPosition header, List<ListItem> lastChanged, long count) {}

        @Override
        public void onCompacted(String reason) {}

        @Override
        public void onPositionChecked(ListPosition header, long newestRevision, long count) {}
    }
}
