/** The client of database members and the messages that it exchanges with them. */
package org.hickoryshed.client.member;
