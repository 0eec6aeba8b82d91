/** Step definitions of the Cucumber scenarios, which run with a simulated clock. */
package org.hickoryshed.decision.scenario;
