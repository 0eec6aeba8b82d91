/** Scripted scenarios of the decisions with a manual clock. */
package org.hickoryshed.decision.scenario;
