package magpiehub.upstream;

import magpiehub.concurrent.MonotonicClock;

/** Stops the threads that read from upstreams as they ask for the time, as if they got no processor time. */
final class ReaderStoppingClock implements MonotonicClock {
    private boolean stopped;

    synchronized void stopReaders() {
        stopped = true;
    }

    synchronized void continueReaders() {
        stopped = false;
        notifyAll();
    }

    @Override
    public long micros() {
        if (Thread.currentThread().getName().startsWith("upstream-reader")) {
            awaitReadersContinue();
        }
        return SYSTEM.micros();
    }

    private synchronized void awaitReadersContinue() {
        while (stopped) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
