package magpiehub;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;

/** Plays every recorded exchange, each against a router of its own. */
@RunWith(Parameterized.class)
public class ExchangesTest {
    @Parameterized.Parameters(name = "{0}")
    public static List<Path> files() throws IOException {
        try (var all = Files.list(Path.of("src/test/resources/exchanges"))) {
            return all.filter(f -> f.toString().endsWith(".txt")).sorted().toList();
        }
    }

    @Parameterized.Parameter
    public Path file;

    @Test
    public void isPlayedToItsEnd() throws Exception {
        Player.play(file);
    }
}
