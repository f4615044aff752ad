Feature: R5 and R7 One run at most, and the whole answer to the own request

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
    Then nothing is broken
    And at least <answered> requests are answered

    Examples:
      | network             | change                              | answered |
      | calm                | nothing                             | 220 |
      | slow and reordering | nothing                             | 110 |
      | losing              | nothing                             | 110 |
      | duplicating         | nothing                             | 110 |
      | bad in every way    | nothing                             | 110 |
      | bad in every way    | the restart of a target             | 55  |
      | bad in every way    | the death of the target             | 55  |
      | bad in every way    | the restart of the agent alone      | 55  |
      | bad in every way    | the death of a balancer             | 110 |
      | bad in every way    | the restart of all balancers        | 110 |
      | bad in every way    | answers that are lost for 800 ms    | 110 |
      | duplicating         | a pause of the balancers for 700 ms | 110 |
      | duplicating         | a stall of the agents for 700 ms    | 110 |
      | slow and reordering | a target that is silent             | 55  |

  Scenario Outline: An idempotent request outlives <change>
    Given a system with 3 balancers
    And a service dispatch with 3 targets
    And 9 open flows to dispatch
    When each flow sends an idempotent request every 250 ms for 3000 ms
    And <change> happens
    And each flow sends an idempotent request
    And 6000 ms pass
    Then nothing is broken
    And all requests are answered

    Examples:
      | change                         |
      | nothing                        |
      | the restart of the agent alone |
      | the loss of a data centre      |
