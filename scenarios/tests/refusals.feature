Feature: A request that is refused as not run has not run

  Scenario Outline: Requests refused because <reason> did not run
    Given a system with 3 balancers
    And agents with
      | queue length | <queue> |
    And targets with
      | slots      | 1         |
      | service ms | <service> |
    And a service dispatch with 1 targets
    And 20 open flows to dispatch
    And a <network> network
    When each flow sends a request every 100 ms for 300 ms
    And <change> happens
    And each flow sends a request
    And 4000 ms pass
    Then all guarantees hold
    And at least 5 requests are refused as not run

    Examples:
      | reason                    | queue | service | network                     | change                           |
      | the queue is full         | 4     | 50      | duplicating                 | nothing                          |
      | the deadline passed       | 64    | 300     | duplicating                 | nothing                          |
      | callers cancelled         | 64    | 100     | slow, lossy and duplicating | the cancellation of all requests |
      | the target is unreachable | 64    | 50      | slow, lossy and duplicating | the crash of the target          |

  Scenario: A cancellation reaches the target
    Given a system with 2 balancers
    And targets with
      | service ms | 500 |
    And a service dispatch with 1 targets
    And 1 open flows to dispatch
    When each flow sends a request
    And 100 ms pass
    And the cancellation of all requests happens
    And 100 ms pass
    Then 1 requests are cancelled at their target
    And all guarantees hold
