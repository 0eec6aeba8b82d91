Feature: Automatic failover

  Background:
    Given a candidate of rank 0 in 3 failure domains
    And a database with primary a-1 in term 4

  Scenario: A killed primary is suspected quickly
    When the process of a-1 is killed
    And 100 ms pass in term 4
    Then the candidate trusts the primary
    When 150 ms pass in term 4
    Then the candidate asks the witnesses

  Scenario: A frozen primary is suspected after the silence timeout
    When a-1 is frozen or cut off from the candidate
    And 400 ms pass in term 4
    Then the candidate trusts the primary
    When 200 ms pass in term 4
    Then the candidate asks the witnesses

  Scenario: A slow primary that still answers is trusted
    When a-1 is frozen or cut off from the candidate
    And 300 ms pass in term 4
    And a-1 answers again
    And 50 ms pass in term 4
    And a-1 is frozen or cut off from the candidate
    And 300 ms pass in term 4
    Then the candidate trusts the primary

  Scenario: A single broken link does not cause a promotion
    When a-1 is frozen or cut off from the candidate
    And 600 ms pass in term 4
    Then the candidate asks the witnesses
    When failure domain gyeonggi-1 does not reach the primary
    Then the witnesses do not confirm the suspicion

  Scenario: Two of three failure domains confirm
    When failure domain gyeonggi-1 does not reach the primary
    And failure domain daegu-1 does not reach the primary
    Then the witnesses confirm the suspicion

  Scenario: The same failure domain counts once
    When failure domain gyeonggi-1 does not reach the primary
    And failure domain gyeonggi-1 does not reach the primary
    Then the witnesses do not confirm the suspicion

  Scenario: A primary that is cut off only from its replicas is replaced
    When the primary is cut off from its replicas while it takes writes
    And 1900 ms pass in term 4
    Then the candidate trusts the primary
    When 200 ms pass in term 4
    Then the candidate promotes without asking

  Scenario: Two faults at once, the primary and a replica killed
    When the process of a-1 is killed
    And the process of a-2 is killed
    And 200 ms pass in term 4
    Then the candidate asks the witnesses

  Scenario: A candidate of a higher rank waits longer
    Given a candidate of rank 2 in 3 failure domains
    And a database with primary a-1 in term 4
    When the process of a-1 is killed
    And 400 ms pass in term 4
    Then the candidate trusts the primary
    When 100 ms pass in term 4
    Then the candidate asks the witnesses

  Scenario: A candidate that starts while the primary is silent asks others first
    Given a candidate of rank 0 in 3 failure domains
    When a-1 is frozen or cut off from the candidate
    And 300 ms pass in term 4
    Then the candidate trusts the primary
    When 300 ms pass in term 4
    Then the candidate asks the witnesses

  Scenario: A candidate that learns of a newer primary stops evaluating the old one
    When the process of a-1 is killed
    And 250 ms pass in term 4
    Then the candidate asks the witnesses
    And the candidate takes a-1 for the primary
    When a-3 reports that it follows a-2 in term 5
    Then the candidate takes a-2 for the primary
    And the candidate trusts the primary
