package magpiehub.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import magpiehub.config.ConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The faults of a settings file. */
class DiscoverySettingsTest {
    @TempDir
    Path folder;

    private String errorOf(String json) throws Exception {
        Path file = folder.resolve("registry.json");
        Files.writeString(file, json);
        return assertThrows(ConfigurationException.class, () -> DiscoverySettings.read(file))
                .getMessage();
    }

    @Test
    void errorsNameFileAndField() throws Exception {
        String ok = "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:2379\"],\"prefix\":\"/e/\"";
        for (String[] example : new String[][] {
            {"{}", "registry.json.kind must be etcd, consul-health or consul-kv"},
            {"{\"kind\":\"etcd\"}", "registry.json.endpoints must list at least one address:port"},
            {"{\"kind\":\"etcd\",\"endpoints\":[\"x\"]}", "registry.json.endpoints is no address:port: x"},
            {"{\"kind\":\"etcd\",\"endpoints\":\"x\"}", "registry.json.endpoints has the wrong type"},
            {"{\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"]}", "registry.json.prefix must name"},
            {"{\"kind\":\"consul-health\",\"endpoints\":[\"127.0.0.1:1\"]}", "registry.json.service must"},
            {"{" + ok + ",\"timeout_ms\":1}", "registry.json.timeout_ms must be from 50 to 60000, not 1"},
            {"{" + ok + ",\"timeout\":900}", "registry.json.timeout is not known; known are announce, "},
            {"{" + ok + ",\"user\":\"u\"}", "registry.json.password_file must be given with the other"},
            {
                "{" + ok + ",\"membership\":{\"removal_share\":2}}",
                "registry.json.membership.removal_share must be from 0 to 1, not 2"
            },
            {"{" + ok + ",\"announce\":{}}", "registry.json.announce.prefix must name"},
            {"{" + ok + ",\"backoff_base_ms\":2000}", "registry.json.backoff_base_ms must not be above"},
            {"{" + ok, "registry.json: Unexpected end-of-input"},
        }) {
            String error = errorOf(example[0]);
            assertTrue(error.startsWith(example[1]), error);
        }
        Path secret = Files.createFile(folder.resolve("secret"));
        Files.writeString(secret, "x");
        Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-r--r--"));
        assertTrue(errorOf("{" + ok + ",\"user\":\"u\",\"password_file\":\"secret\"}")
                .contains("chmod 600"));
        assertNull(DiscoverySettings.read(folder.resolve("none.json")));
        assertEquals(
                "etcd",
                DiscoverySettings.read(Path.of("deploy/registry.example.json")).kind());
    }
}
