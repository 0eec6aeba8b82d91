package org.hickoryshed.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.client.platform.StoreClient.Versioned;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * Reads and edits the tables in the platform's store. Each edit is one conditional write, based on
 * the revision that the operator's file names, so that two operators can't overwrite each other's
 * edit.
 */
final class TableEditor {

  /** The name of the object in the store that holds the history. */
  private static final String HISTORY = "configuration-history";

  /** The longest time to wait for each response of the store. */
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  /**
   * The number of attempts to write and to find out whether a write without response took effect.
   */
  private static final int ATTEMPTS = 5;

  /** The number of edits that the history keeps. */
  private static final int HISTORY_LENGTH = 200;

  private final StoreClient store;

  private final String operator;

  TableEditor(StoreClient store, String operator) {
    this.store = store;
    this.operator = operator;
  }

  /**
   * Reads the accepted tables.
   *
   * @return The tables with their version in the store, empty tables before the first edit, or the
   *     failure.
   */
  Result<Versioned<Configuration>, EditFailure> current() {
    return switch (store.read(StoreClient.CONFIGURATION, Configuration.class, TIMEOUT)) {
      case Result.Success<Optional<Versioned<Configuration>>, CallFailure>(
              Optional<Versioned<Configuration>> found) ->
          Result.success(found.orElse(new Versioned<>(0, Configuration.EMPTY)));
      case Result.Failed<Optional<Versioned<Configuration>>, CallFailure>(CallFailure failure) ->
          Result.failure(new EditFailure.StoreUnavailable(failure.toString()));
    };
  }

  /**
   * Reads and checks a file and writes its tables to the store.
   *
   * @param file The reader of the file.
   * @return The accepted configuration or the failure.
   */
  Result<Configuration, EditFailure> apply(SettingsReader file) {
    String editId = UUID.randomUUID().toString();
    return switch (TableReader.read(file, editId)) {
      case Result.Failed<Configuration, List<SettingsProblem>>(List<SettingsProblem> problems) ->
          Result.failure(new EditFailure.InvalidFile(problems));
      case Result.Success<Configuration, List<SettingsProblem>>(Configuration wanted) ->
          write(wanted);
    };
  }

  /**
   * Writes tables and finds out by reading them whether a write without response took effect.
   *
   * @param wanted The tables, with the revision that they are based on.
   */
  private Result<Configuration, EditFailure> write(Configuration wanted) {
    Configuration next = wanted.edit(wanted.editId(), wanted.routes(), wanted.pools());
    EditFailure lastFailure = new EditFailure.StoreUnavailable("the store did not answer");
    for (int attempt = 0; attempt <= ATTEMPTS; attempt++) {
      switch (current()) {
        case Result.Failed<Versioned<Configuration>, EditFailure>(EditFailure failure) ->
            lastFailure = failure;
        case Result.Success<Versioned<Configuration>, EditFailure>(
                Versioned<Configuration> accepted) -> {
          if (isSameEdit(accepted.value(), next)) {
            recordHistory(accepted.value());
            return Result.success(accepted.value());
          }
          if (accepted.value().revision() != wanted.revision()) {
            return Result.failure(conflict(wanted, accepted.value()));
          }
          // The last pass only finds out whether the write before it took effect.
          if (attempt < ATTEMPTS) {
            store.write(StoreClient.CONFIGURATION, accepted.version(), next, TIMEOUT);
          }
        }
      }
    }
    return Result.failure(lastFailure);
  }

  /**
   * Checks whether the accepted configuration is the outcome of an edit: of this run, or of an
   * earlier run with the same file whose answer was lost.
   */
  private static boolean isSameEdit(Configuration accepted, Configuration next) {
    return accepted.editId().equals(next.editId())
        || (accepted.revision() == next.revision() && difference(accepted, next).isEmpty());
  }

  private static EditFailure conflict(Configuration wanted, Configuration accepted) {
    return new EditFailure.Conflict(
        wanted.revision(), accepted.revision(), difference(accepted, wanted));
  }

  /**
   * Lists the lines in which two configurations differ, each preceded by the header of its table.
   *
   * @param before The configuration before.
   * @param after The configuration after.
   * @return First the removed lines behind a minus, then the added lines behind a plus.
   */
  static List<String> difference(Configuration before, Configuration after) {
    List<String> removed = linesWithTable(before);
    List<String> added = linesWithTable(after);
    List<String> difference = new ArrayList<>();
    removed.stream().filter(line -> !added.contains(line)).forEach(l -> difference.add("- " + l));
    added.stream().filter(line -> !removed.contains(line)).forEach(l -> difference.add("+ " + l));
    return difference;
  }

  /** Writes a configuration as lines that are each preceded by the header of their table. */
  private static List<String> linesWithTable(Configuration configuration) {
    List<String> lines = new ArrayList<>();
    String table = "";
    for (String line : Arrays.asList(TableWriter.write(configuration).split("\n", -1))) {
      if (line.startsWith("[")) {
        table = line;
      } else if (!line.isEmpty() && !table.isEmpty()) {
        lines.add(table + " " + line);
      }
    }
    return lines;
  }

  /**
   * Reads the history.
   *
   * @return The accepted edits, latest last, or the failure.
   */
  Result<History, EditFailure> history() {
    return switch (store.read(HISTORY, History.class, TIMEOUT)) {
      case Result.Success<Optional<Versioned<History>>, CallFailure>(
              Optional<Versioned<History>> found) ->
          Result.success(found.map(Versioned::value).orElse(History.EMPTY));
      case Result.Failed<Optional<Versioned<History>>, CallFailure>(CallFailure failure) ->
          Result.failure(new EditFailure.StoreUnavailable(failure.toString()));
    };
  }

  /**
   * Adds an accepted edit to the history. The edit is missing there if every attempt to write it
   * fails; its tables are accepted all the same.
   */
  private void recordHistory(Configuration accepted) {
    History.Edit edit =
        new History.Edit(
            accepted.revision(), accepted.editId(), operator, Instant.now().toString());
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      Optional<Optional<Versioned<History>>> read =
          store.read(HISTORY, History.class, TIMEOUT).value();
      if (read.isEmpty()) {
        continue;
      }
      Versioned<History> stored = read.get().orElse(new Versioned<>(0, History.EMPTY));
      History next = stored.value().with(edit, HISTORY_LENGTH);
      if (store.write(HISTORY, stored.version(), next, TIMEOUT).value().orElse(false)) {
        return;
      }
    }
  }
}
