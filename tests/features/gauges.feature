Feature: Gauges of queues and reservations, and plots of reports

  Scenario: a report is plotted with and without targets
    Guards against a plot that fails on a row without a target.

    Given a bench report with one row with a target and one without
    When the report is plotted
    Then the plot is a PNG image

  Scenario: a granted request shows in the owner's gauges
    Guards against gauges that do not follow the reservations of the pool.

    Given a simulated fleet of one daemon with the demonstration's text
    When one completion is being decoded
    Then the gauge group.analyst.0.places is 1
    And the gauge requests.active is 1
