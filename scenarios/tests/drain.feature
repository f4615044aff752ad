Feature: A target that is leaving gets no new flows after 3 s

  Scenario Outline: <change> with <fault>
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 12 open flows to dispatch
    When <fault> happens
    And <change> happens
    And 3000 ms pass
    And the flows of the first target are counted
    And 40 new flows to dispatch send a request
    And 3000 ms pass
    Then the first target has no new flow
    And at least 30 requests are answered
    And all guarantees hold

    Examples:
      | change                    | fault                             |
      | the drain of a target     | nothing                           |
      | the departure of a target | nothing                           |
      | the drain of a target     | a balancer without a control link |
      | the departure of a target | a balancer without a control link |
      | the departure of a target | an agent without a control link   |

  Scenario Outline: Flows end at the drain deadline after <change>
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
    And all guarantees hold

    Examples:
      | change                    |
      | the drain of a target     |
      | the departure of a target |

  Scenario: Requests to a target that crashes are retried at other targets
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 12 open flows to dispatch
    When the crash of the target happens
    And each flow sends a request
    And 8000 ms pass
    Then all requests are answered
    And all guarantees hold
    And the first target has no flows
    When the flows of the first target are counted
    And 9 new flows to dispatch send a request
    And 4000 ms pass
    Then the first target has no new flow
