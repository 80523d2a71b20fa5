package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.InputStream;

/** Recorded bytes of a connection that arrive in pieces: each read returns one piece at most. */
final class PiecewiseInputStream extends InputStream {
    private final byte[] bytes;
    private final int[] pieceEnds;
    private int position;
    private int piece;

    /**
     * Creates a stream.
     *
     * @param recorded the bytes, each a character
     * @param pieceEnds where the pieces but the last end, in ascending order
     */
    PiecewiseInputStream(String recorded, int... pieceEnds) {
        bytes = recorded.getBytes(ISO_8859_1);
        this.pieceEnds = pieceEnds;
    }

    @Override
    public int read() {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int count) {
        while (piece < pieceEnds.length && pieceEnds[piece] <= position) {
            piece++;
        }
        int end = piece < pieceEnds.length ? pieceEnds[piece] : bytes.length;
        int length = Math.min(count, end - position);
        if (length == 0) {
            return -1;
        }
        System.arraycopy(bytes, position, target, offset, length);
        position += length;
        return length;
    }

    /** A buffer over bytes that arrive in pieces, with a clock that stands still. */
    static ReadBuffer buffer(String recorded, int... pieceEnds) {
        return new ReadBuffer(new PiecewiseInputStream(recorded, pieceEnds), () -> 0);
    }

    /** A reader over bytes that arrive in pieces, with a clock that stands still. */
    static HttpReader reader(String recorded, int... pieceEnds) {
        return new HttpReader(new PiecewiseInputStream(recorded, pieceEnds), () -> 0);
    }
}
