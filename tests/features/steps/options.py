"""Steps that read options."""

import json

from behave import given
from behave import then
from behave import when

from primrosereel import _options as options


@given('the options {data}')
def given_options(context, data):
    """Keep the options for the next steps."""
    context.data = json.loads(data)
    context.faults = []


@when('port, host and address are read below "{path}"')
def read_options(context, path):
    """Read an integer, a string and an address."""
    faults = context.faults
    options.get_int_opt(context.data, 'port', faults, path, maximum=65535)
    options.get_str_opt(context.data, 'host', faults, path)
    options.get_address_opt(context.data, 'address', faults, path)


@then('the faults are at {paths}')
def check_faults(context, paths):
    """Compare the paths of the faults."""
    assert [f.path for f in context.faults] == paths.split(', ')
