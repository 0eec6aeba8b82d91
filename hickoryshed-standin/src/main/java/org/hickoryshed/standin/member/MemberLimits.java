package org.hickoryshed.standin.member;

/**
 * The simulated capacity of a member.
 *
 * @param slots The number of statements that are executed concurrently; others wait.
 * @param connections The largest number of open connections.
 * @param connectMillis The time in milliseconds to open a connection.
 * @param statementMillis The shortest execution time of a statement in milliseconds.
 */
public record MemberLimits(int slots, int connections, int connectMillis, int statementMillis) {}
