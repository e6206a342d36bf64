"""What must hold in a soak run, checked on the records of its end."""

from tests.soak import account_checks
from tests.soak import answer_checks
from tests.soak import crash_checks
from tests.soak import leaving_checks
from tests.soak import loss_checks

__all__ = ['check_all']

CHECKS = (
    answer_checks.check_answers,
    answer_checks.check_unanswered,
    loss_checks.check_lost_answers,
    answer_checks.check_runs,
    answer_checks.check_routes,
    answer_checks.check_versions,
    answer_checks.check_logs,
    leaving_checks.check_left_runners,
    leaving_checks.check_leaving_answers,
    leaving_checks.check_back_off,
    crash_checks.check_crashes,
    account_checks.check_keys,
    account_checks.check_account_fields,
    account_checks.check_key_texts,
)


def check_all(record):
    """Return the violations of all guarantees."""
    return [violation for check in CHECKS for violation in check(record)]
