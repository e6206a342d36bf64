Feature: A region without the configuration service

  Scenario: it gets new texts through another region
    Guards against a region that depends on its own readers alone.

    Given a fleet of 6+40 daemons that all run text 1
    When the fleet has region 1 without the configuration service
    And the fleet runs for 25 s
    And the fleet gets a good text
    Then the fleet has text 2 everywhere within 0.3 s
