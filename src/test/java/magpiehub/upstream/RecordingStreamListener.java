package magpiehub.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import magpiehub.protocol.StreamListener;
import magpiehub.streaming.FlowController;
import magpiehub.streaming.StreamFlow;
import magpiehub.streaming.StreamOutcome;

/** The client's side of a stream: collects the events until the stream has ended. */
final class RecordingStreamListener implements StreamListener {
    final CompletableFuture<Void> begun = new CompletableFuture<>();
    final CompletableFuture<String> events = new CompletableFuture<>();
    private final StreamFlow flow;
    private final StringBuilder received = new StringBuilder();

    RecordingStreamListener(FlowController streams) {
        flow = streams.openStream(0, -1, "1", () -> {});
    }

    @Override
    public void onEvent(byte[] event) {
        received.append(new String(event, UTF_8));
        begun.complete(null);
    }

    @Override
    public void onEnd() {
        events.complete(received.toString());
    }

    @Override
    public void onFailure(byte[] error, StreamOutcome outcome) {
        events.completeExceptionally(new IOException("the stream broke: " + outcome));
    }

    @Override
    public StreamFlow flow() {
        return flow;
    }
}
