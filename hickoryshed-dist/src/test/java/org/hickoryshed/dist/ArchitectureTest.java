package org.hickoryshed.dist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests of the architecture. */
class ArchitectureTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.hickoryshed");

  @Test
  void decisionsHaveNoInputOutputOrThreads() {
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
  void productDoesNotDependOnStandIns() {
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
}
