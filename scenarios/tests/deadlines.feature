Feature: Deadlines bound waiting, and idle flows expire

  Scenario Outline: Deadlines do not grow after <change>
    Given a system with 3 balancers
    And a service dispatch with 2 targets
    And 12 open flows to dispatch
    When each flow sends a request
    And <change> happens
    And 3000 ms pass
    Then no target got a later deadline than the caller set
    And all guarantees hold

    Examples:
      | change                              |
      | nothing                             |
      | a stall of the balancers for 700 ms |
      | a stall of the agents for 700 ms    |

  Scenario: Requests to an unreachable agent end at their deadline
    Given a system with 3 balancers
    And a service dispatch with 2 targets
    And 12 open flows to dispatch
    When an agent that is unreachable happens
    And each flow sends a request
    And 2100 ms pass
    Then all guarantees hold
    And at least 1 requests are answered
    And at least 1 requests may have run

  Scenario Outline: A flow that was idle for <idle> ms is <state>
    Given a system with 2 balancers
    And agents with
      | flow idle | 60000 |
    And a service dispatch with 1 targets
    And 2 open flows to dispatch
    When <idle> ms pass
    And each flow sends a request
    And 3000 ms pass
    Then all requests are answered
    And <expired> flows have expired
    And all guarantees hold

    Examples:
      | idle  | state   | expired |
      | 55000 | open    | 0       |
      | 70000 | expired | 2       |
