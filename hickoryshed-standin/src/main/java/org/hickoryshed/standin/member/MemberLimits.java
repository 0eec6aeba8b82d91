package org.hickoryshed.standin.member;

/**
 * The limits of a member.
 *
 * @param slots The number of statements that run at once.
 * @param connections The number of connections that are accepted.
 * @param connectMillis The time in milliseconds to set a connection up.
 * @param statementMillis The time in milliseconds that a statement takes at least.
 */
public record MemberLimits(int slots, int connections, int connectMillis, int statementMillis) {}
