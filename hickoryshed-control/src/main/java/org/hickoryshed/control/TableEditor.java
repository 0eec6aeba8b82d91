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

/** Edits the tables in the platform's store. */
final class TableEditor {

  /** The name of the object that holds the history. */
  private static final String HISTORY = "configuration-history";

  /** The longest time to wait for the store. */
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  /** The number of times that a lost answer is looked into. */
  private static final int TRIES = 5;

  /** The number of edits that the history keeps. */
  private static final int HISTORY_LENGTH = 200;

  /** The store. */
  private final StoreClient store;

  /** The name of the operator. */
  private final String operator;

  /**
   * Creates a new editor.
   *
   * @param store The store.
   * @param operator The name of the operator.
   */
  TableEditor(StoreClient store, String operator) {
    this.store = store;
    this.operator = operator;
  }

  /**
   * Reads the accepted tables.
   *
   * @return The tables with their version in the store, or the failure.
   */
  Result<Versioned<Configuration>, EditFailure> current() {
    return switch (store.read(StoreClient.CONFIGURATION, Configuration.class, TIMEOUT)) {
      case Result.Success<Optional<Versioned<Configuration>>, CallFailure>(
              Optional<Versioned<Configuration>> found) ->
          Result.success(found.orElse(new Versioned<>(0, Configuration.EMPTY)));
      case Result.Failed<Optional<Versioned<Configuration>>, CallFailure>(CallFailure failure) ->
          Result.failure(new EditFailure.StoreLost(failure.toString()));
    };
  }

  /**
   * Applies a file.
   *
   * @param file The reader of the file.
   * @return The accepted configuration or the failure.
   */
  Result<Configuration, EditFailure> apply(SettingsReader file) {
    String editId = UUID.randomUUID().toString();
    return switch (TableReader.read(file, editId)) {
      case Result.Failed<Configuration, List<SettingsProblem>>(List<SettingsProblem> problems) ->
          Result.failure(new EditFailure.Faulty(problems));
      case Result.Success<Configuration, List<SettingsProblem>>(Configuration wanted) ->
          write(wanted);
    };
  }

  /**
   * Writes tables and looks into lost answers.
   *
   * @param wanted The tables, with the revision that they are based on.
   * @return The accepted configuration or the failure.
   */
  private Result<Configuration, EditFailure> write(Configuration wanted) {
    Configuration next = wanted.edit(wanted.editId(), wanted.routes(), wanted.pools());
    Result<Configuration, EditFailure> result =
        Result.failure(new EditFailure.StoreLost("the store did not answer"));
    for (int attempt = 0; attempt < TRIES; attempt++) {
      switch (current()) {
        case Result.Failed<Versioned<Configuration>, EditFailure>(EditFailure failure) ->
            result = Result.failure(failure);
        case Result.Success<Versioned<Configuration>, EditFailure>(
                Versioned<Configuration> accepted) -> {
          if (accepted.value().editId().equals(next.editId())) {
            recordHistory(next);
            return Result.success(next);
          }
          if (accepted.value().revision() != wanted.revision()) {
            return Result.failure(conflict(wanted, accepted.value()));
          }
          store.write(StoreClient.CONFIGURATION, accepted.version(), next, TIMEOUT);
        }
      }
    }
    return result;
  }

  /**
   * Describes a conflict.
   *
   * @param wanted The tables of the file.
   * @param accepted The accepted tables.
   * @return The conflict.
   */
  private static EditFailure conflict(Configuration wanted, Configuration accepted) {
    return new EditFailure.Conflict(
        wanted.revision(), accepted.revision(), difference(accepted, wanted));
  }

  /**
   * Lists the lines in which tables differ.
   *
   * @param before The tables before.
   * @param after The tables after.
   * @return The removed lines behind a minus and the added lines behind a plus.
   */
  static List<String> difference(Configuration before, Configuration after) {
    List<String> removed = keyedLines(before);
    List<String> added = keyedLines(after);
    List<String> difference = new ArrayList<>();
    removed.stream().filter(line -> !added.contains(line)).forEach(l -> difference.add("- " + l));
    added.stream().filter(line -> !removed.contains(line)).forEach(l -> difference.add("+ " + l));
    return difference;
  }

  /**
   * Writes tables as lines that each name their table.
   *
   * @param configuration The tables.
   * @return The lines.
   */
  private static List<String> keyedLines(Configuration configuration) {
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
          Result.failure(new EditFailure.StoreLost(failure.toString()));
    };
  }

  /**
   * Adds an accepted edit to the history, which may miss edits while the store is failing.
   *
   * @param accepted The accepted configuration.
   */
  private void recordHistory(Configuration accepted) {
    History.Edit edit =
        new History.Edit(
            accepted.revision(), accepted.editId(), operator, Instant.now().toString());
    for (int attempt = 0; attempt < TRIES; attempt++) {
      Optional<Optional<Versioned<History>>> read =
          store.read(HISTORY, History.class, TIMEOUT).value();
      if (read.isEmpty()) {
        continue;
      }
      Versioned<History> known = read.get().orElse(new Versioned<>(0, History.EMPTY));
      History next = known.value().with(edit, HISTORY_LENGTH);
      if (store.write(HISTORY, known.version(), next, TIMEOUT).value().orElse(false)) {
        return;
      }
    }
  }
}
