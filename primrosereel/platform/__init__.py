"""Adapter for the users' platform: its wire names, formats and calls.

Converts store entries, settings and headers to the types of
``primrosereel.routing`` and ``primrosereel.gateway``; it makes no routing
decisions. Data that cannot be decoded becomes None, or an error message that
names the field.
"""

from primrosereel.platform._configuration_check import check_configuration
from primrosereel.platform._configuration_check import Finding
from primrosereel.platform._configuration_check import Severity
from primrosereel.platform._dialect import Dialect
from primrosereel.platform._settings import read_settings
from primrosereel.platform._store import Store

__all__ = [
    'Dialect',
    'Finding',
    'Severity',
    'Store',
    'check_configuration',
    'read_settings',
]
