package magpiehub;

import static org.junit.Assert.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

/** One recorded trace through both client protocols: each request has the same outcome at the same time. */
public class DialectsTest {
    @Test
    public void bothDialectsGiveEqualOutcomesAtEqualTimes() throws Exception {
        Path trace = Path.of("src/test/resources/trace.txt");
        List<String> platform = Player.play(trace, "front platform");
        List<String> messages = Player.play(trace, "front messages");
        assertEquals(platform, messages);
        assertEquals("requests in the trace", 7, platform.size());
    }
}
