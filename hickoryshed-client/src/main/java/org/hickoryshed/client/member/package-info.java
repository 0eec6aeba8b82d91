/** The client of database members. */
package org.hickoryshed.client.member;
