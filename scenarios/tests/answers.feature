Feature: A request runs at most once and its caller gets its whole answer

  Scenario Outline: <change> in a <network> network
    Given a system with 3 balancers
    And targets with
      | slots        | 4    |
      | service ms   | 20   |
      | answer bytes | 2500 |
    And a service dispatch with 2 targets
    And 20 open flows to dispatch
    And a <network> network
    When each flow sends a request every 100 ms for 500 ms
    And <change> happens
    And each flow sends a request every 100 ms for 500 ms
    And each flow sends an idempotent request
    And 6000 ms pass
    Then all guarantees hold
    And at least <answered> requests are answered

    Examples:
      | network                     | change                              | answered |
      | reliable                    | nothing                             | 220      |
      | slow and reordering         | nothing                             | 110      |
      | lossy                       | nothing                             | 110      |
      | duplicating                 | nothing                             | 110      |
      | slow, lossy and duplicating | nothing                             | 110      |
      | slow, lossy and duplicating | the restart of a target             | 55       |
      | slow, lossy and duplicating | the crash of the target             | 55       |
      | slow, lossy and duplicating | the restart of the agent alone      | 55       |
      | slow, lossy and duplicating | the crash of a balancer             | 110      |
      | slow, lossy and duplicating | the restart of all balancers        | 110      |
      | slow, lossy and duplicating | a loss of answers for 800 ms        | 110      |
      | duplicating                 | a pause of the balancers for 700 ms | 110      |
      | duplicating                 | a stall of the agents for 700 ms    | 110      |
      | slow and reordering         | an agent that is unreachable        | 55       |

  Scenario Outline: Idempotent requests are answered despite <change>
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 9 open flows to dispatch
    When each flow sends an idempotent request every 250 ms for 3000 ms
    And <change> happens
    And each flow sends an idempotent request
    And 6000 ms pass
    Then all guarantees hold
    And all requests are answered

    Examples:
      | change                          |
      | nothing                         |
      | the restart of the agent alone  |
      | the evacuation of a data centre |
