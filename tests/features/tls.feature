Feature: TLS on the peers' port and the callers' port

  Scenario Outline: a peer with <case>
    Guards against unauthenticated clients on the peers' port and against a
    peer that impersonates another instance.

    Given tls: a peers' port whose certificate names "<server>"
    When tls: "entry-1" sends to "entry-2" with <case>
    Then tls: the server received <received> messages and the sender got <outcome>

    Examples:
      | case                            | server  | received | outcome |
      | its own certificate             | entry-2 | 1        | reply   |
      | no certificate                  | entry-2 | 0        | failure |
      | no encryption                   | entry-2 | 0        | failure |
      | another authority's certificate | entry-2 | 0        | failure |
      | another instance's certificate  | entry-2 | 0        | failure |
      | its own certificate             | entry-3 | 0        | failure |

  Scenario: the callers' port answers over https
    Guards against unencrypted keys where TLS is configured and against a
    drain that fails while callers keep connections open.

    Given tls: a daemon with a certificate for callers
    Then tls: a request over https is answered with 401
    And tls: a request over http is not answered
    And tls: the daemon stops when it is drained
