Feature: An accepted configuration reaches every proxy and never reverts

  Scenario: A change reaches every proxy of a large failure domain
    Given a failure domain with 525 proxies and revision 7 in force
    When an operator's edit is accepted as revision 8
    And each proxy polls 5 times
    Then revision 8 is in force on every proxy

  Scenario: A store that went backwards is reported and ignored
    Given a failure domain with 7 proxies and revision 7 in force
    When the store goes back to revision 5
    And each proxy polls 3 times
    Then revision 7 is in force on every proxy
    And a watcher reports that the store went back

  Scenario: A proxy that starts while the store is down serves with the configuration of a peer
    Given a failure domain with 3 proxies and revision 7 in force
    And a proxy that starts with no configuration
    When the store is down
    And each proxy polls 1 time
    Then revision 7 is in force on every proxy

  Scenario: Routes and pools are validated together
    When an operator deletes the pool of a route
    Then the edit is refused because of a missing pool
