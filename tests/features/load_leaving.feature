Feature: A runner reports in its load report that it is leaving

  Scenario: only a new incarnation or another text clears the leaving flag
    Guards against new work for a leaving runner, and against a restarted
    runner that never gets work again.

    Given a fleet of 2 daemons with text revision 1
    When membership gets a load report of runner d0 of i0-000 with incarnation 1, leaving
    Then membership has runner d0 of i0-000 as leaving
    When membership gets a load report of runner d0 of i0-000 with incarnation 1, not leaving
    Then membership has runner d0 of i0-000 as leaving
    When membership gets a load report of runner d0 of i0-000 with incarnation 2, not leaving
    Then membership has runner d0 of i0-000 as not leaving
