package org.hickoryshed.decision.workspace;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The workspaces of one version of the desired state; immutable. */
public final class Workspaces {

  /** Stands for a deployment that knows no workspaces: callers need no key. */
  public static final Workspaces UNUSED = new Workspaces(false, Map.of());

  /** The number of workspaces that metrics tell apart. */
  private static final int MAX_LABELS = 100;

  /** The label in metrics of all further workspaces. */
  private static final String OTHER_LABEL = "other";

  private final boolean used;

  /** The workspaces in the order of their names. */
  private final Map<String, Workspace> byName;

  private final Map<String, Workspace> byKey = new HashMap<>();

  /** The names of the workspaces that metrics tell apart. */
  private final Set<String> labels;

  private Workspaces(boolean used, Map<String, Workspace> byName) {
    this.used = used;
    this.byName = byName;
    // A key that two workspaces claim identifies the first by name, so that all proxies agree.
    byName
        .values()
        .forEach(workspace -> workspace.keys().forEach(key -> byKey.putIfAbsent(key, workspace)));
    labels =
        byName.values().stream()
            .sorted(Comparator.comparingDouble(Workspace::ratePerSecond).reversed())
            .limit(MAX_LABELS)
            .map(Workspace::name)
            .collect(Collectors.toSet());
  }

  /**
   * Collects workspaces; callers need a key from then on, even if there is no workspace.
   *
   * @param workspaces The workspaces; the last one of a name counts.
   * @return The collection.
   */
  public static Workspaces of(Collection<Workspace> workspaces) {
    Map<String, Workspace> byName = new TreeMap<>();
    workspaces.forEach(workspace -> byName.put(workspace.name(), workspace));
    return new Workspaces(true, byName);
  }

  /**
   * Checks if the deployment knows workspaces.
   *
   * @return {@code false} if callers need no key.
   */
  public boolean areUsed() {
    return used;
  }

  /**
   * Finds the workspace that holds a key.
   *
   * @param key The key.
   * @return The workspace, empty if none holds the key.
   */
  public Optional<Workspace> byKey(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Finds a workspace by its name.
   *
   * @param name The name.
   * @return The workspace, empty if there is none of that name.
   */
  public Optional<Workspace> byName(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /**
   * Returns the label of a workspace in metrics. Only the workspaces with the highest rates have
   * labels of their own, so that the number of time series is bounded.
   *
   * @param name The name of the workspace.
   * @return The name, or a common label for the others.
   */
  public String labelOf(String name) {
    return labels.contains(name) ? name : OTHER_LABEL;
  }

  /**
   * Returns all workspaces.
   *
   * @return The workspaces in the order of their names, not to be changed.
   */
  public Collection<Workspace> all() {
    return Collections.unmodifiableCollection(byName.values());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Workspaces workspaces
        && used == workspaces.used
        && byName.equals(workspaces.byName);
  }

  @Override
  public int hashCode() {
    return byName.hashCode();
  }

  /** Returns a text for logs, without any key. */
  @Override
  public String toString() {
    return used ? byName.values().toString() : "unused";
  }
}
