Feature: R2 No packet reaches a target of another service

  Scenario Outline: <change> mixes no services
    Given a system with 3 balancers
    And a service dispatch with 2 targets
    And a service certs with 2 targets
    And 12 open flows to dispatch
    And 12 open flows to certs
    When <change> happens
    And each flow sends a request
    And 20 new flows to dispatch send a request
    And 20 new flows to certs send a request
    And 4000 ms pass
    Then nothing is broken
    And at least 40 requests are answered

    Examples:
      | change                                             |
      | nothing                                            |
      | a target that comes back as another service        |
      | a target of another service before control knows   |
      | a service address that is used again               |
      | an address used again behind a stale balancer      |
      | an agent address that is used again                |
