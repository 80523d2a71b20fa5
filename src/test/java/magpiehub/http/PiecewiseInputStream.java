package magpiehub.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.InputStream;

/** The input of a connection, which arrives in pieces: each read returns at most one piece. */
final class PiecewiseInputStream extends InputStream {
    private final byte[] bytes;
    private final int[] pieceEnds;
    private int position;
    private int piece;

    /**
     * Creates a stream.
     *
     * @param input the bytes, one per character
     * @param pieceEnds the end positions of all pieces but the last, in ascending order
     */
    PiecewiseInputStream(String input, int... pieceEnds) {
        bytes = input.getBytes(ISO_8859_1);
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

    /** A buffer over input that arrives in pieces, with a clock that always returns 0. */
    static ReadBuffer buffer(String input, int... pieceEnds) {
        return new ReadBuffer(new PiecewiseInputStream(input, pieceEnds), () -> 0);
    }

    /** A reader over input that arrives in pieces, with a clock that always returns 0. */
    static HttpReader reader(String input, int... pieceEnds) {
        return new HttpReader(new PiecewiseInputStream(input, pieceEnds), () -> 0);
    }
}
