package magpiehub;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the layers of docs/architecture.md: the dependencies between packages, and names banned from the sources. */
class ArchitectureTest {
    /** Packages from the lowest layer to the highest; a package may depend only on those before it. */
    private static final List<String> LAYERS = List.of(
            "routing",
            "concurrent",
            "config",
            "telemetry",
            "http",
            "dispatch",
            "store",
            "streaming",
            "sites",
            "admin",
            "protocol",
            "upstream",
            "downstream",
            "discovery",
            "simulator",
            "lifecycle");

    /** Shorter names, such as a zone called "x", also occur in the sources as ordinary literals. */
    private static final int MIN_NAME_LENGTH = 4;

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("magpiehub");

    @Test
    void everyPackageHasALayer() {
        Set<String> found = new TreeSet<>();
        CLASSES.forEach(c -> found.add(topLevelPackage(c.getPackageName())));
        found.remove("");
        assertEquals(new TreeSet<>(LAYERS), found);
    }

    @Test
    void packagesUseOnlyLowerLayers() {
        for (int i = 0; i < LAYERS.size(); i++) {
            List<String> higher = new ArrayList<>();
            for (String layer : LAYERS.subList(i + 1, LAYERS.size())) {
                higher.add("magpiehub." + layer + "..");
            }
            higher.add("magpiehub");
            noClasses()
                    .that()
                    .resideInAPackage("magpiehub." + LAYERS.get(i) + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(higher.toArray(new String[0]))
                    .check(CLASSES);
        }
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("magpiehub.(**)").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void routingDependsOnTheJdkOnly() {
        noClasses()
                .that()
                .resideInAPackage("magpiehub.routing..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages("magpiehub.routing..", "java.lang..", "java.util..")
                .check(CLASSES);
    }

    /** Names of classes, tenants, zones and models come from the configuration and are never hard-coded. */
    @Test
    void sourcesContainNoNamesOfADeployment() throws IOException {
        Set<String> names = deploymentNames();
        assertTrue(
                names.containsAll(Set.of("harbour-library", "quay", "desk-chat", "results-lookup")), names.toString());
        Pattern literal = Pattern.compile("\"((?:\\\\.|[^\"\\\\\n])*)\"");
        try (Stream<Path> sources = Files.walk(Path.of("src/main/java"))) {
            for (Path source :
                    sources.filter(p -> p.toString().endsWith(".java")).toList()) {
                Matcher matcher = literal.matcher(Files.readString(source));
                while (matcher.find()) {
                    assertFalse(names.contains(matcher.group(1)), source + " contains \"" + matcher.group(1) + "\"");
                }
            }
        }
    }

    private static Set<String> deploymentNames() throws IOException {
        Pattern value = Pattern.compile(
                "\"?(name|names|zones|class|tenant|models)\"?\\s*[=:]\\s*" + "(\"[^\"]*\"|\\[[^]]*]|\\{[^}]*})");
        Pattern word = Pattern.compile("\"([^\"]+)\"(\\s*:)?");
        Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.walk(Path.of("deploy"))) {
            for (Path file : files.filter(p -> p.toString().matches(".*(\\.toml|\\.example\\.json)"))
                    .toList()) {
                if (file.endsWith("balancer.toml")) {
                    continue;
                }
                Matcher found = value.matcher(Files.readString(file));
                while (found.find()) {
                    word.matcher(found.group(2))
                            .results()
                            .filter(w -> w.group(2) == null && w.group(1).length() >= MIN_NAME_LENGTH)
                            .forEach(w -> names.add(w.group(1)));
                }
            }
        }
        return names;
    }

    private static String topLevelPackage(String name) {
        String[] parts = name.split("\\.", -1);
        return parts.length > 1 ? parts[1] : "";
    }
}
