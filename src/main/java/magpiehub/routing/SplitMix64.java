package magpiehub.routing;

/**
 * The SplitMix64 generator, the policy's only source of randomness and its hash function. All numbers are determined by
 * the seed, so the same events lead to the same decisions.
 */
final class SplitMix64 {
    /** The increment of SplitMix64: the golden ratio as a 64-bit fraction. */
    private static final long INCREMENT = 0x9e3779b97f4a7c15L;

    private long state;

    SplitMix64(long seed) {
        state = seed;
    }

    /** Returns the next number, uniform in [0, 1). */
    double nextDouble() {
        state += INCREMENT;
        return toUnitInterval(mix(state));
    }

    /** Returns a hash of a number; different numbers have different hashes. */
    static long mix(long value) {
        long x = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /** Returns a number in [0, 1) that depends only on the key. */
    static double mixToUnitInterval(long key) {
        return toUnitInterval(mix(key));
    }

    private static double toUnitInterval(long hash) {
        return (hash >>> 11) * 0x1.0p-53;
    }
}
