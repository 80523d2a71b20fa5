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

/** Tests the reading of settings files and the messages for invalid ones. */
class DiscoverySettingsTest {
    @TempDir
    Path directory;

    private String errorOf(String json) throws Exception {
        Path file = directory.resolve("registry.json");
        Files.writeString(file, json);
        return assertThrows(ConfigurationException.class, () -> DiscoverySettings.read(file))
                .getMessage();
    }

    @Test
    void errorsNameFileAndField() throws Exception {
        String valid = "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:2379\"],\"prefix\":\"/e/\"";
        for (String[] example : new String[][] {
            {"{}", "registry.json.kind must be etcd, consul-health or consul-kv"},
            {"{\"kind\":\"etcd\"}", "registry.json.endpoints must list at least one address:port"},
            {"{\"kind\":\"etcd\",\"endpoints\":[\"x\"]}", "registry.json.endpoints is no address:port: x"},
            {"{\"kind\":\"etcd\",\"endpoints\":\"x\"}", "registry.json.endpoints has the wrong type"},
            {"{\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"]}", "registry.json.prefix must name"},
            {"{\"kind\":\"consul-health\",\"endpoints\":[\"127.0.0.1:1\"]}", "registry.json.service must"},
            {"{" + valid + ",\"timeout_ms\":1}", "registry.json.timeout_ms must be from 50 to 60000, not 1"},
            {"{" + valid + ",\"timeout\":900}", "registry.json.timeout is not known; known are announce, "},
            {
                "{" + valid + ",\"user\":\"u\"}",
                "registry.json.password_file is missing; user and password_file must be set together"
            },
            {
                "{" + valid + ",\"membership\":{\"removal_share\":2}}",
                "registry.json.membership.removal_share must be from 0 to 1, not 2"
            },
            {"{" + valid + ",\"announce\":{}}", "registry.json.announce.prefix must name"},
            {"{" + valid + ",\"backoff_base_ms\":2000}", "registry.json.backoff_base_ms must not be above"},
            {"{" + valid, "registry.json: Unexpected end-of-input"},
        }) {
            String error = errorOf(example[0]);
            assertTrue(error.startsWith(example[1]), error);
        }
        Path secret = Files.createFile(directory.resolve("secret"));
        Files.writeString(secret, "x");
        Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-r--r--"));
        assertTrue(errorOf("{" + valid + ",\"user\":\"u\",\"password_file\":\"secret\"}")
                .contains("chmod 600"));
        assertNull(DiscoverySettings.read(directory.resolve("none.json")));
        assertEquals(
                "etcd",
                DiscoverySettings.read(Path.of("deploy/registry.example.json")).kind());
    }
}
