package magpiehub.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import magpiehub.routing.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading a router's configuration. An error is reported in one line that names its place. */
class ConfigTest {
    private static final String VALID = "{'name':'n','listen':'127.0.0.1:1','discovery':'127.0.0.1:2',"
            + "'seed':'8f','limits':{'sockets':9},'settings':{'classes':[{'name':'c',"
            + "'deadlineMs':9}],'limits':{'mostTries':2}}}";

    @TempDir
    Path folder;

    private RouterConfiguration read(String json) throws IOException {
        Path file = Files.createTempFile(folder, "junit", ".tmp");
        Files.writeString(file, json.replace('\'', '"'));
        return RouterConfigurationReader.read(Map.of("ROUTER_CONFIG", file.toString(), "ROUTER_NAME", "from-variable"));
    }

    private void assertInvalid(String json, String message) {
        assertEquals(
                message,
                assertThrows(ConfigurationException.class, () -> read(json)).getMessage());
    }

    @Test
    void variablesOverrideTheFile() throws IOException {
        RouterConfiguration configuration = read(VALID);
        assertEquals(
                "from-variable 127.0.0.1:1 143 9",
                configuration.name() + " " + configuration.listen() + " " + configuration.seed() + " "
                        + configuration.maxSockets());
        assertEquals(-1, configuration.site().classIndex("d"));
    }

    @Test
    void errorsNameTheirPlace() {
        assertInvalid(VALID.replace("'classes'", "'clauses'"), "config.settings.classes is missing");
        assertInvalid(
                VALID.replace("[{'name':'c','deadlineMs':9}]", "[7]"), "config.settings.classes must hold objects");
        assertInvalid(VALID.replace("'127.0.0.1:1'", "'127.0.0.1'"), "is no address:port: 127.0.0.1");
        assertInvalid(VALID.replace(",'deadlineMs':9", ""), "config.settings.classes.deadlineMs is missing");
        assertInvalid(
                VALID.replace("'deadlineMs':9", "'deadlineMs':0"),
                "config.settings.classes.deadlineMs must be a number above 0");
        assertInvalid(
                VALID.replace("'mostTries':2", "'mostTries':-2"),
                "config.settings.limits.mostTries must be a number above 0");
        assertInvalid(
                VALID.replace("'mostTries':2", "'mostTries':'2'"),
                "config.settings.limits.mostTries has the wrong type");
        assertInvalid(VALID.replace("'sockets':9}", "'sockets':'9'}"), "config.limits.sockets has the wrong type");
        assertInvalid(VALID.replace("'seed'", "'sead'"), "config.seed is missing");
        assertInvalid(VALID + "{}", "config holds more than one value");
        assertEquals(
                "ROUTER_CONFIG is not set",
                assertThrows(ConfigurationException.class, () -> RouterConfigurationReader.read(Map.of()))
                        .getMessage());
    }

    @Test
    void errorsHavePathAndReason() {
        ConfigurationException error =
                assertThrows(ConfigurationException.class, () -> read(VALID.replace("'sockets':9}", "'sockets':'9'}")));
        assertEquals("config.limits.sockets", error.path());
        assertEquals("has the wrong type", error.reason());
    }

    /**
     * A later file must have every key of the current one, also in each class, except the endpoint list and the seed.
     */
    @Test
    void aLaterFileMustHaveEveryKey() throws IOException {
        RouterConfiguration now = read(VALID);
        Map<String, Object> later =
                read(VALID.replace("{'name':'c',", "{'aimMs':1,'name':'d',")).members();
        assertEquals(null, ConfigurationComparison.firstMissingKey(now.members(), later, "config"));
        assertEquals(
                "config.settings.classes[0].aimMs",
                ConfigurationComparison.firstMissingKey(later, now.members(), "config"));
        later.remove("seed");
        assertEquals(null, ConfigurationComparison.firstMissingKey(now.members(), later, "config"));
        later.remove("discovery");
        assertEquals("config.discovery", ConfigurationComparison.firstMissingKey(now.members(), later, "config"));
    }

    @Test
    void classesKeepTheirIndexesAcrossReloads() {
        SiteSettings one = site("{'name':'a','deadlineMs':1},{'name':'b','deadlineMs':2}");
        SiteSettings two = one.updatedWith(
                site("{'name':'b','deadlineMs':2},{'name':'c','deadlineMs':3}," + "{'name':'a','deadlineMs':9}"));
        assertEquals("1 2 3", two.classIndex("b") + " " + two.classIndex("c") + " " + two.classIndex("a"));
        assertEquals(1000, two.routing().classes().get(0).deadline());
        assertEquals(9000, two.routing().classes().get(3).deadline());
        SiteSettings three = two.updatedWith(site("{'name':'a','deadlineMs':1}"));
        assertEquals(
                "0 -1 4",
                three.classIndex("a") + " " + three.classIndex("b") + " "
                        + three.routing().classes().size(),
                "the original definition gets its original index again");
    }

    @Test
    void classesOfEarlierSettingsAreNotCurrentAfterAReload() {
        SiteSettings before = site("{'name':'a','deadlineMs':20000},{'name':'b','deadlineMs':2}");
        SiteSettings after = before.updatedWith(site("{'name':'a','deadlineMs':9},{'name':'c','deadlineMs':3}"));
        assertEquals(4, after.routing().classes().size(), "kept for requests in flight");
        assertEquals(
                Set.of(9_000L, 3_000L),
                after.currentClasses().stream().map(RequestClass::deadline).collect(Collectors.toSet()));
    }

    /**
     * Names of classes, tenants and models must come from the settings only, so none of the examples' is in the code.
     */
    @Test
    void namesOfTheExamplesAreNotInTheCode() throws IOException {
        Set<String> names = new TreeSet<>();
        for (Path example : list(Path.of("deploy"), ".json")) {
            Matcher value = Pattern.compile(":\\s*\"([a-z]+(-[a-z]+)+)\"").matcher(Files.readString(example));
            while (value.find()) {
                names.add(value.group(1));
            }
        }
        assertTrue(names.size() >= 3, "two classes and a tenant: " + names);
        List<Path> sources = list(Path.of("src/main"), "");
        sources.add(Path.of("deploy/balancer.toml"));
        for (Path file : sources) {
            String text = Files.readString(file);
            names.forEach(name -> assertFalse(text.contains(name), file + " contains " + name));
        }
    }

    private static List<Path> list(Path folder, String suffix) throws IOException {
        try (var all = Files.walk(folder)) {
            return new ArrayList<>(
                    all.filter(f -> Files.isRegularFile(f) && f.toString().endsWith(suffix))
                            .toList());
        }
    }

    private static SiteSettings site(String classes) {
        try {
            return SiteSettingsParser.parse(ConfigurationObject.parse(
                    ("{'classes':[" + classes + "]}").replace('\'', '"').getBytes(UTF_8), "settings"));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
