Feature: Only one layer retries, and within a budget

  Scenario Outline: Retries after <change> with a queue of <queue>
    Given a system with 3 balancers
    And agents with
      | queue length | <queue> |
    And targets with
      | slots       | 1             |
      | service ms  | 50            |
      | connections | <connections> |
    And a service dispatch with 2 targets
    And 16 open flows to dispatch
    When each flow sends an idempotent request every 100 ms for 1000 ms
    And <change> happens
    And each flow sends an idempotent request every 100 ms for 1000 ms
    And 60 new flows to dispatch send a request
    And 4000 ms pass
    Then retries stay within their budgets
    And a flow is opened in at most 2 attempts a balancer
    And all guarantees hold

    Examples:
      | change                          | queue | connections |
      | nothing                         | 2     | 100         |
      | nothing                         | 64    | 48          |
      | the restart of the agent alone  | 2     | 100         |
      | the crash of the target         | 2     | 100         |
      | the evacuation of a data centre | 64    | 100         |
