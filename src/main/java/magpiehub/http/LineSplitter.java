package magpiehub.http;

import java.io.IOException;

/** Splits a body into lines, without their line feeds. An unterminated last line is dropped. */
final class LineSplitter implements BodyConsumer {
    private final EventHandler handler;
    private final int maxLineBytes;
    private final ByteAccumulator line = new ByteAccumulator();

    /**
     * Creates a splitter.
     *
     * @param maxLineBytes a longer line is answered with status 502
     */
    LineSplitter(EventHandler handler, int maxLineBytes) {
        this.handler = handler;
        this.maxLineBytes = maxLineBytes;
    }

    @Override
    public void accept(byte[] array, int offset, int count) throws IOException, InterruptedException {
        int end = offset + count;
        for (int i = offset; i < end; i++) {
            byte b = array[i];
            if (b == '\n') {
                handler.onEvent(line.take());
            } else if (line.length() >= maxLineBytes) {
                throw new HttpException(502, "line too large");
            } else {
                line.append(b);
            }
        }
    }
}
