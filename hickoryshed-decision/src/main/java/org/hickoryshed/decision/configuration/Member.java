package org.hickoryshed.decision.configuration;

/**
 * A member of a database.
 *
 * @param name The name of the member, unique across all pools.
 * @param address The address of the member as IP address and port.
 * @param domain The failure domain of the member.
 * @param region The region of the member.
 */
public record Member(String name, String address, String domain, String region) {}
