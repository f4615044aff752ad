Feature: Established flows survive planned changes

  Scenario Outline: <change> breaks no flow
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 24 open flows to dispatch
    When <change> happens
    And each flow sends a request
    And 4000 ms pass
    Then each request is answered by the target of its flow
    And every flow has been opened
    And all guarantees hold

    Examples:
      | change                                            |
      | nothing                                           |
      | the addition of a target                          |
      | the departure of a target                         |
      | the drain of a target                             |
      | the creation of a service                         |
      | the removal of a service                          |
      | an address change of the service                  |
      | an address change that a balancer misses          |
      | the addition of a balancer                        |
      | the crash of a balancer                           |
      | the restart of all balancers                      |
      | the restart of a balancer that missed 300 changes |
      | all planned changes at once                       |
      | a pause of the balancers for 700 ms               |
