Feature: All faults of a file are reported together

  Scenario: every invalid option is reported with its path
    Guards against a checker that stops at the first fault.

    Given the options {"port": 70000, "host": "", "address": "example:80"}
    When port, host and address are read below "peers"
    Then the faults are at peers.port, peers.host, peers.address
