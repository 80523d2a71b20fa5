package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak; {@code make proof-soak} plays other seeds. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SoakTest {
    @TempDir
    Path folder;

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4})
    void noRuleIsBroken(long seed) throws Exception {
        StringBuilder line = new StringBuilder();
        List<String> broken = SoakRun.run(seed, folder, line);
        System.out.println(line);
        assertEquals(List.of(), broken, line.toString());
    }
}
