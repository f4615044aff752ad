Feature: No packet reaches a target of another service

  Scenario Outline: Services stay separate during <change>
    Given a system with 3 balancers
    And a service dispatch with 2 targets
    And a service certs with 2 targets
    And 12 open flows to dispatch
    And 12 open flows to certs
    When <change> happens
    And each flow sends a request
    And 20 new flows to dispatch send a request
    And 20 new flows to certs send a request
    And 4000 ms pass
    Then all guarantees hold
    And at least 40 requests are answered

    Examples:
      | change                                               |
      | nothing                                              |
      | the restart of a target for another service          |
      | a target that changes service without a control link |
      | the reuse of a service address                       |
      | the reuse of an address that a balancer misses       |
      | the reuse of an agent address                        |
