Feature: Deadlines shrink, silence is found, idle flows stay

  Scenario Outline: A deadline is not longer after <change>
    Given a system with 3 balancers
    And a service dispatch with 2 targets
    And 12 open flows to dispatch
    When each flow sends a request
    And <change> happens
    And 3000 ms pass
    Then no target was given more time than the caller gave
    And nothing is broken

    Examples:
      | change                              |
      | nothing                             |
      | a stall of the balancers for 700 ms |
      | a stall of the agents for 700 ms    |

  Scenario: A silent target is found by deadline
    Given a system with 3 balancers
    And a service dispatch with 2 targets
    And 12 open flows to dispatch
    When a target that is silent happens
    And each flow sends a request
    And 2100 ms pass
    Then nothing is broken
    And at least 1 requests are answered
    And at least 1 requests may have run

  Scenario Outline: A flow that was idle for <idle> ms is <fate>
    Given a system with 2 balancers
    And agents with
      | flow idle | 60000 |
    And a service dispatch with 1 targets
    And 2 open flows to dispatch
    When <idle> ms pass
    And each flow sends a request
    And 3000 ms pass
    Then all requests are answered
    And <cut> flows were cut
    And nothing is broken

    Examples:
      | idle  | fate | cut |
      | 55000 | kept | 0   |
      | 70000 | cut  | 2   |
