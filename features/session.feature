Feature: A session from inventory import to whole answers

  Background:
    Given a fresh system with the example inventory and rules

  Scenario: A job comes back whole, once
    When steppe submits job "bales-1" of 20 tasks to intake
    Then the answer is complete with 20 outputs
    When steppe submits job "bales-1" of 20 tasks to intake
    Then the answer is the same as before
    And the endpoint started 20 tasks

  Scenario: A member cannot use another's service
    When steppe submits job "panel-1" of 3 tasks to roster
    Then the answer is refused as not_your_service and did not run
    And the endpoint started 0 tasks

  Scenario: Operators race each other with conflicting changes
    When two operators change the weight of member steppe on the same version
    Then one change is accepted and one is rejected as change_conflict
