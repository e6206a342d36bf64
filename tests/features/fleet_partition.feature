Feature: A network partition between regions

  Scenario: the higher revision wins after the partition
    Guards against old texts and suspected peers that outlast a partition.

    Given a fleet of 6+6 daemons with text revision 1
    When the fleet has region 1 without the configuration service
    And the fleet has the regions cut off from each other
    And the fleet gets a good text
    And the fleet runs for 60 s
    Then fleet member i1-001 sees i1-000 as live
    When the fleet has all links restored
    Then the fleet has text revision 2 everywhere within 12 s
    When the fleet runs for 20 s
    Then the fleet has only live peers
