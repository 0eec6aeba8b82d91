package org.hickoryshed.control;

import java.util.List;
import org.hickoryshed.kernel.settings.SettingsProblem;

/** The reason why an edit of the tables was not accepted, or is not known to be accepted. */
sealed interface EditFailure {

  /**
   * The file is not TOML or breaks a rule of the tables. Nothing was written.
   *
   * @param problems All problems.
   */
  record InvalidFile(List<SettingsProblem> problems) implements EditFailure {}

  /**
   * The file is based on another revision than the accepted one, as another edit was accepted
   * first. Nothing was written.
   *
   * @param expected The revision that the file is based on.
   * @param current The accepted revision.
   * @param difference The lines in which the accepted tables differ from the file.
   */
  record Conflict(long expected, long current, List<String> difference) implements EditFailure {}

  /**
   * The store did not answer, so it is not known whether the edit was accepted.
   *
   * @param detail What is known about the failure.
   */
  record StoreUnavailable(String detail) implements EditFailure {}
}
