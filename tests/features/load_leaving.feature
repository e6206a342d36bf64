Feature: A runner says in its load report that it leaves

  Scenario: only a new incarnation or another text clears the sign
    Guards against new work for a runner that leaves, and against a restarted
    runner that never gets work again.

    Given a fleet of 2 daemons that all run text 1
    When membership hears that runner d0 of i0-000 reports incarnation 1, leaving
    Then membership has runner d0 of i0-000 as leaving
    When membership hears that runner d0 of i0-000 reports incarnation 1, back
    Then membership has runner d0 of i0-000 as leaving
    When membership hears that runner d0 of i0-000 reports incarnation 2, back
    Then membership has runner d0 of i0-000 as working
