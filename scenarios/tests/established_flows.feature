Feature: R1 Established flows survive planned changes

  Scenario Outline: <change> breaks no flow
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 24 open flows to dispatch
    When <change> happens
    And each flow sends a request
    And 4000 ms pass
    Then each request is answered by the target of its flow
    And every flow has been opened
    And nothing is broken

    Examples:
      | change                         |
      | nothing                        |
      | the arrival of a target        |
      | the leave of a target          |
      | the drain of a target          |
      | the arrival of a service       |
      | the removal of a service       |
      | a new address of the service   |
      | a new address behind a stale balancer |
      | the arrival of a balancer      |
      | the death of a balancer        |
      | the restart of all balancers   |
      | a restart after 300 changes    |
      | all planned changes at once    |
      | a pause of the balancers for 700 ms |
