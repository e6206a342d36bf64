Feature: The command-line tool

  Scenario Outline: an example's text has no faults
    Guards against a fault that is reported for a valid text.

    When tool: "primrosereel check examples/<user>/text.json5" runs
    Then tool: it ends with status 0 and prints nothing

    Examples:
      | user        |
      | lynreg      |
      | guadalajara |

  Scenario: each fault of a text is printed with its path
    Guards against a fault without its path, and against a checker that stops
    at the first fault.

    Given tool: the file "bad.json5" is examples/lynreg/text.json5 with "role: 'prefill'" changed to "role: 'cook'" and "rate: 2," to "rate: 'x',"
    When tool: "primrosereel check bad.json5" runs
    Then tool: it ends with status 1
    And tool: it prints "services.log-analyst.runners.analyst-1.role"
    And tool: it prints "services.log-analyst.runners.analyst-2.role"
    And tool: it prints "client_accounts.records-office.rate"

  Scenario: a missing text is a usage error
    Guards against a missing file that is reported as a text with faults.

    When tool: "primrosereel check nowhere.json5" runs
    Then tool: it ends with status 2
    And tool: it prints "nowhere.json5: No such file"

  Scenario: valid settings are checked without starting the daemon
    Guards against a check that starts a daemon.

    When tool: "primrosereeld --check --settings examples/lynreg/settings/entry-1.json5" runs
    Then tool: it ends with status 0 and prints nothing

  Scenario: invalid settings have an exit status of their own
    Guards against a supervisor that keeps restarting a daemon whose settings
    are invalid.

    Given tool: the file "bad.json5" is examples/lynreg/settings/entry-1.json5 with "127.0.0.1:18210" changed to "localhost:1" and "entry-1" to "a.b"
    When tool: "primrosereeld --check --settings bad.json5" runs
    Then tool: it ends with status 2
    And tool: it prints "callers.address"
    And tool: it prints "instance"

  Scenario: missing settings
    Guards against a check that passes without a settings file.

    When tool: "primrosereeld --check --settings nowhere.json5" runs
    Then tool: it ends with status 2

  Scenario: a stand-in is run by the tool
    Guards against a registered command that does not start.

    When tool: "primrosereel standin engine --listen 192.0.2.1:80" runs
    Then tool: it ends with status 2
    And tool: it prints "not a loopback address"
    When tool: the stand-in "engine" is started by the tool
    Then tool: it prints its address and stops at SIGTERM

  Scenario: an example is run by the tool
    Guards against processes that outlive the tool, and against instances that
    do not find each other.

    Given tool: a copy of the example "lynreg" with 2 instances on free ports
    When tool: the copy is run until a completion is answered
    Then tool: at SIGTERM it ends with status 0 and none of its ports answers
