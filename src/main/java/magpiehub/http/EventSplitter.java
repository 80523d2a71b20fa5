package magpiehub.http;

import java.io.IOException;

/** Splits a body into server-sent events, each including the blank line that ends it. */
final class EventSplitter implements BodyConsumer {
    private final EventHandler handler;
    private final ByteAccumulator event = new ByteAccumulator();

    EventSplitter(EventHandler handler) {
        this.handler = handler;
    }

    @Override
    public void accept(byte[] array, int offset, int count) throws IOException, InterruptedException {
        int end = offset + count;
        for (int i = offset; i < end; i++) {
            byte b = array[i];
            event.append(b);
            if (b == '\n' && event.endsWithBlankLine()) {
                handler.onEvent(takeEvent());
            }
        }
        if (event.length() > 0) {
            handler.onPartialEvent(Math.min(count, event.length()));
        }
        if (event.length() > HttpLimits.MAX_BODY_BYTES) {
            throw new HttpException(502, "event too large");
        }
    }

    /** Handles the remainder at the end of the body: an event without its blank line. */
    void finish() throws IOException, InterruptedException {
        if (event.length() > 0) {
            handler.onEvent(takeEvent());
        }
    }

    /**
     * Takes the event, whose first line must contain a colon. Otherwise, after a chunk with a wrong size, the framing
     * of the following chunks would be forwarded as events.
     */
    private byte[] takeEvent() throws HttpException {
        byte[] bytes = event.take();
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == ':') {
                return bytes;
            }
            if (bytes[i] < ' ') {
                break;
            }
        }
        throw new HttpException(502, "malformed event");
    }
}
