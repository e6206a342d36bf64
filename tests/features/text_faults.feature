Feature: All faults of an operator text are reported together

  Scenario Outline: <case>
    Guards against an accepted text that the fleet cannot serve.

    Given an operator text with the plain services a, b
    When the operator text has <value> at <path>
    Then the operator text has faults exactly at <faults>

    Examples:
      | case | value | path | faults |
      | unknown model | "x" | services/s/model | services.s.model |
      | LLM service without model | nothing | services/s/model | services.s.model |
      | unknown dependency | ["x"] | services/s/depends_on | services.s.depends_on |
      | unknown service of a client account | ["x"] | client_accounts/c0/services | client_accounts.c0.services |
      | no prefill runner | nothing | services/s/runners/p | services.s.runners |
      | plain service without calls | [] | services/a/calls | services.a.calls |
      | call listed twice | [{"method": "GET", "path": "/"}, {"method": "GET", "path": "/"}] | services/a/calls | services.a.calls.1 |
      | plain service without runners | {} | services/a/runners | services.a.runners |
      | role of the other kind | "decode" | services/a/runners/a-0/role | services.a.runners.a-0.role |
      | host name as address | "localhost:80" | services/a/runners/a-0/address | services.a.runners.a-0.address |
      | address listed twice | "10.9.0.1:80" | services/a/runners/a-0/address | services.b.runners.b-0.address |
      | address listed twice, written otherwise | "10.9.0.1:080" | services/a/runners/a-0/address | services.b.runners.b-0.address |
      | runner id listed twice | {"a-0": {"address": "10.8.0.1:1", "availability_zone": "a", "role": "plain"}} | services/b/runners | services.b.runners.a-0 |
      | key hash too short | "abc" | client_accounts/c0/key_sha256 | client_accounts.c0.key_sha256 |
      | key hash twice | "0000000000000000000000000000000000000000000000000000000000000001" | client_accounts/c0/key_sha256 | client_accounts.c1.key_sha256 |
      | priority above 9 | 10 | client_accounts/c0/priority | client_accounts.c0.priority |
      | negative rate | -1 | client_accounts/c0/rate | client_accounts.c0.rate |
      | true as a number | true | services/s/queue_limit | services.s.queue_limit |
      | unknown key | 1 | services/s/colour | services.s.colour |
      | name with a separator | {} | models/a b | models.a b, models.a b.prefill_tokens_s, models.a b.decode_step_s, models.a b.kv_bytes_per_token, models.a b.context_tokens |
