Feature: A region without the configuration service

  Scenario: it gets new texts through another region
    Guards against a region that gets texts only from the daemons of its own
    that read the configuration service.

    Given a fleet of 6+40 daemons with text revision 1
    When the fleet has region 1 without the configuration service
    And the fleet runs for 25 s
    And the fleet gets a good text
    Then the fleet has text revision 2 everywhere within 0.3 s
