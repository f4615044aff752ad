Feature: A target that has just started gets no more requests than it can run

  Scenario Outline: <change>, <slots> slots, limit <limit>, announced <announced>
    Given a system with 3 balancers
    And targets with
      | slots                | <slots>     |
      | cold limit           | <limit>     |
      | announced cold limit | <announced> |
      | service ms           | <service>   |
    And a service dispatch with 2 targets
    And 40 open flows to dispatch
    When each flow sends a request every 250 ms for 3000 ms
    And each flow sends a request
    And 40 ms pass
    And <change> happens
    And each flow sends a request every 250 ms for 3000 ms
    And 2500 ms pass
    Then no target received more requests than it can run
    And all guarantees hold
    And at least <answered> requests are answered

    Examples:
      | change                               | slots | limit | announced | service | answered |
      | nothing                              | 8     | 1     | 1         | 10      | 100      |
      | the restart of a target              | 1     | 1     | 1         | 10      | 100      |
      | the restart of a target              | 2     | 1     | 1         | 10      | 100      |
      | the restart of a target              | 8     | 1     | 1         | 10      | 100      |
      | the restart of a target              | 8     | 2     | 2         | 10      | 100      |
      | the restart of a target              | 8     | 1     | 8         | 10      | 100      |
      | the restart of a target              | 8     | 1     | 1         | 150     | 100      |
      | a restart that is announced late     | 8     | 1     | 1         | 10      | 100      |
      | a restart that is announced late     | 8     | 1     | 1         | 150     | 100      |
      | a restart with the same incarnation  | 8     | 1     | 1         | 10      | 100      |
      | a restart with the same incarnation  | 8     | 1     | 1         | 150     | 100      |
      | a restart that refuses no connection | 8     | 1     | 1         | 10      | 100      |
      | a restart that refuses no connection | 8     | 1     | 1         | 50      | 100      |
      | the restart of the agent alone       | 8     | 1     | 1         | 10      | 100      |

  Scenario Outline: <change> while a target with <slots> slots is busy
    Given a system with 3 balancers
    And targets with
      | slots      | <slots> |
      | service ms | 1200    |
    And a service dispatch with 1 targets
    And 6 open flows to dispatch
    When each flow sends an idempotent request every 100 ms for <busy> ms
    And <change> happens
    And 1500 ms pass
    And 6 new flows to dispatch send a request
    And 6000 ms pass
    Then no target received more requests than it can run
    And all guarantees hold

    Examples:
      | change                          | slots | busy |
      | nothing                         | 1     | 200  |
      | the restart of the agent alone  | 1     | 200  |
      | the restart of the agent alone  | 2     | 200  |
      | the restart of the agent alone  | 8     | 200  |
      | the restart of target and agent | 8     | 200  |

  Scenario: A target starts cold after the return of its data centre
    Given a system with 3 balancers
    And targets with
      | slots | 4 |
    And a service dispatch with 3 targets
    And 24 open flows to dispatch
    When each flow sends a request every 50 ms for 6000 ms
    Then the first target is warm
    When the evacuation of a data centre happens
    And the return of a data centre happens
    Then the first target is cold
