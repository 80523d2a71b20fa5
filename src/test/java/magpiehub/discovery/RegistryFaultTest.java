package magpiehub.discovery;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** The randomized fault test at a small scale. */
public class RegistryFaultTest {
    private static final long S = 1_000_000;

    /** The proof at a small scale: nothing missed, repeated or taken back. Its times are no part of a test.
     *  */
    @Test
    public void theProofHoldsAtASmallScale() throws Exception {
        RegistryProof.Outcome o = RegistryProof.run(1, 60, 400, 6, 2, 60 * S);
        assertEquals(o.line(), 0, o.wrong());
    }
}
