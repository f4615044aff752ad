Feature: R8 A target that is leaving gets no new work after 3 s

  Scenario Outline: <change> with <fault>
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 12 open flows to dispatch
    When <fault> happens
    And <change> happens
    And 3000 ms pass
    And flows are counted
    And 40 new flows to dispatch send a request
    And 3000 ms pass
    Then the first target has no new flow
    And at least 30 requests are answered
    And nothing is broken

    Examples:
      | change                | fault                          |
      | the drain of a target | nothing                        |
      | the leave of a target | nothing                        |
      | the drain of a target | a balancer without control     |
      | the leave of a target | a balancer without control     |
      | the leave of a target | an agent without control       |

  Scenario Outline: Flows of <change> end at the deadline of the service
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 12 open flows to dispatch
    When <change> happens
    And each flow sends a request every 1000 ms for 15000 ms
    Then each request is answered by the target of its flow
    When 12000 ms pass
    Then the first target has no flows
    When each flow sends a request
    And 4000 ms pass
    Then all requests are answered
    And nothing is broken

    Examples:
      | change                |
      | the drain of a target |
      | the leave of a target |

  Scenario: Requests of a target that dies without a word move to others
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 12 open flows to dispatch
    When the death of the target happens
    And each flow sends a request
    And 8000 ms pass
    Then all requests are answered
    And nothing is broken
    And the first target has no flows
    When flows are counted
    And 9 new flows to dispatch send a request
    And 4000 ms pass
    Then the first target has no new flow
