package org.hickoryshed.dist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests of the architecture: dependencies between modules, classes that may not be used, and names
 * that only the platform module may use.
 */
class ArchitectureTest {

  /**
   * Names from the protocols of the platform, which only the sources of the platform module may
   * use.
   */
  private static final String[] PLATFORM_NAMES = {
    "X-Fence-Token",
    "X-Duty-Holder",
    "StoreRevision",
    "DbRole",
    "MaxStalenessMs",
    "ColdRemainingMs",
    "TargetLatencyMs",
    "TimeoutMs\"",
    "TxIdleMs",
    "SyncReplicas",
    "HICKORYSHED_SETTINGS",
    "/v1/objects",
    "/v1/ready",
    "/promotion",
    "read_your_writes",
    "bounded_staleness",
    "INDOUBT",
    "LAGGING",
    "MISDIRECT",
    "NOSTMT",
    "READONLY",
    "TOOMANY",
    "DEALLOC"
  };

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.hickoryshed");

  @Test
  void decisionsUseNoInputOutputThreadsOrClocks() {
    noClasses()
        .that()
        .resideInAPackage("org.hickoryshed.decision..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio..",
            "java.util.concurrent..",
            "java.util.random..",
            "org.hickoryshed.kernel..")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, Clock.class, Instant.class, java.util.Random.class)
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .check(CLASSES);
  }

  @Test
  void onlyStandInsDependOnStandIns() {
    noClasses()
        .that()
        .resideOutsideOfPackage("org.hickoryshed.standin..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.hickoryshed.standin..")
        .check(CLASSES);
  }

  @Test
  void processesStartNoOtherProcess() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .belongToAnyOf(ProcessBuilder.class, Process.class)
        .check(CLASSES);
  }

  @Test
  void onlyPlatformModuleDependsOnPlatformModule() {
    noClasses()
        .that()
        .resideOutsideOfPackage("org.hickoryshed.platform..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.hickoryshed.platform..")
        .check(CLASSES);
  }

  @Test
  void onlyPlatformModuleUsesPlatformNames() throws IOException {
    Path root = Path.of("..").toRealPath();
    try (Stream<Path> files = Files.walk(root)) {
      List<Path> sources =
          files
              .filter(file -> file.toString().contains("/src/main/java/"))
              .filter(file -> !file.startsWith(root.resolve("platform")))
              .filter(file -> file.toString().endsWith(".java"))
              .toList();
      assertThat(sources).isNotEmpty();
      for (Path source : sources) {
        assertThat(Files.readString(source)).as(source.toString()).doesNotContain(PLATFORM_NAMES);
      }
    }
  }
}
