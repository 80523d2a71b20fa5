package magpiehub.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * The input of a socket whose reader takes bytes by {@link #read(byte[], int, int)} only. Records in the socket's
 * {@link SocketProgress} when the reader has taken some, and when it asks for more.
 */
final class RecordedInputStream extends FilterInputStream {
    private final SocketProgress progress;

    RecordedInputStream(InputStream in, SocketProgress progress) {
        super(in);
        this.progress = progress;
    }

    @Override
    public int read(byte[] target, int offset, int count) throws IOException {
        progress.recordInputPosted();
        int length = super.read(target, offset, count);
        progress.recordInputTaken();
        return length;
    }
}
