package magpiehub;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Replays every recorded exchange, each against a new router. */
class ExchangesTest {
    public static List<Path> exchangeFiles() throws IOException {
        try (var all = Files.list(Path.of("src/test/resources/exchanges"))) {
            return all.filter(f -> f.toString().endsWith(".txt")).sorted().toList();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("exchangeFiles")
    void replaysToTheEnd(Path file) throws Exception {
        ExchangeReplayer.replay(file);
    }
}
