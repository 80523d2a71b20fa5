package magpiehub.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** A router's configuration: each fault is told in one line that names its place. */
public class ConfigTest {
    private static final String GOOD = "{'name':'n','listen':'127.0.0.1:1','discovery':'127.0.0.1:2',"
            + "'seed':'8f','limits':{'sockets':9},'settings':{'classes':[{'name':'c'}]}}";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Config.Router read(String json) throws IOException {
        Path file = folder.newFile().toPath();
        Files.writeString(file, json.replace('\'', '"'));
        return Config.router(Map.of("ROUTER_CONFIG", file.toString(), "ROUTER_NAME", "from-variable"));
    }

    private void bad(String json, String message) {
        assertEquals(message, assertThrows(Config.Malformed.class, () -> read(json)).getMessage());
    }

    @Test
    public void variablesGoBeforeTheFile() throws IOException {
        Config.Router r = read(GOOD);
        assertEquals("from-variable 127.0.0.1:1 143 9", r.name() + " " + r.listen() + " " + r.seed() + " "
                + r.sockets());
        assertEquals(-1, r.site().cls("d"));
    }

    @Test
    public void faultsNameTheirPlace() {
        bad(GOOD.replace("'classes'", "'clauses'"), "config.settings.classes is missing");
        bad(GOOD.replace("[{'name':'c'}]", "[7]"), "config.settings.classes must hold objects");
        bad(GOOD.replace("'127.0.0.1:1'", "'127.0.0.1'"), "is no address:port: 127.0.0.1");
        bad(GOOD.replace("9}", "'9'}"), "config.limits.sockets has the wrong type");
        bad(GOOD.replace("'seed'", "'sead'"), "config.seed is missing");
        bad(GOOD + "{}", "config holds more than one value");
        assertEquals("ROUTER_CONFIG is not set",
                assertThrows(Config.Malformed.class, () -> Config.router(Map.of())).getMessage());
    }
}
