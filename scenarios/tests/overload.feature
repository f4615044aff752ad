Feature: Overload is shed early, and the service recovers after it

  Scenario: Flows of low priority are shed before flows of high priority
    Given a system with 3 balancers that open 20 flows a second each
    And targets with
      | connections | 1000 |
    And a service dispatch with 3 targets
    And a low priority service certs with 3 targets
    When 30 flows a second to dispatch and 120 to certs are opened for 5000 ms
    And 4000 ms pass
    Then at least 99% of the flows to dispatch were opened
    And at most 50% of the flows to certs were opened
    And all guarantees hold

  Scenario: Requests succeed again after a load of three times the capacity
    Given a system with 3 balancers
    And targets with
      | slots       | 2    |
      | service ms  | 10   |
      | connections | 1000 |
    And a service dispatch with 2 targets
    And 20 open flows to dispatch
    When each flow sends a request every 100 ms for 8000 ms
    And 500 ms pass
    Then at least 95% of the requests of the last 2500 ms are answered
    Given 100 open flows to dispatch
    When each flow sends a request every 100 ms for 3000 ms
    And the last 100 flows send no more requests
    And each flow sends a request every 100 ms for 7000 ms
    And 2500 ms pass
    Then at least 95% of the requests of the last 4500 ms are answered
    And all guarantees hold
