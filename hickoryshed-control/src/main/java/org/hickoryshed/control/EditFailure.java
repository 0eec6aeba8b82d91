package org.hickoryshed.control;

import java.util.List;
import org.hickoryshed.kernel.settings.SettingsProblem;

/** A failure of an edit of the tables. Nothing of the edit is in force. */
sealed interface EditFailure {

  /**
   * The file is faulty.
   *
   * @param problems All problems.
   */
  record Faulty(List<SettingsProblem> problems) implements EditFailure {}

  /**
   * Another edit came first.
   *
   * @param expected The revision that the file is based on.
   * @param current The revision that is accepted.
   * @param difference The lines in which the accepted tables differ from the file.
   */
  record Conflict(long expected, long current, List<String> difference) implements EditFailure {}

  /**
   * The store could not be asked, so that nothing is known about the edit.
   *
   * @param detail What is known about the failure.
   */
  record StoreLost(String detail) implements EditFailure {}
}
