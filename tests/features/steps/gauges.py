"""Steps that read gauges and plot reports."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from primrosereel.bench import _plot as plot
from primrosereel.bench import _simulation as simulation
from primrosereel.bench import _texts as texts
from primrosereel.bench import _workloads as workloads

PNG = b'\x89PNG'


@given('a bench report with one row with a target and one without')
def given_report(context):
    """Build a minimal report with both kinds of row."""
    row = {'measure': 'a', 'median': 1.0, 'spread': 0.1}
    target = {**row, 'measure': 'b', 'target': '>= 0.5', 'met': True}
    context.report = {
        'workload': 'lynreg',
        'scale': 1,
        'seeds': [1],
        'rows': [row, target],
    }


@when('the report is plotted')
def plot_report(context):
    """Write the plot to a temporary directory."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'plot.png'
        plot.plot_measures(context.report, str(path))
        context.image = path.read_bytes()


@then('the plot is a PNG image')
def check_plot(context):
    """Compare the signature at the start of the file."""
    assert context.image.startswith(PNG)


@given("a simulated fleet of one daemon with the demonstration's text")
def given_simulation(context):
    """Build a simulation with one daemon."""
    context.simulation = simulation.Simulation(texts.demo(), daemons=1)


@when('one completion is being decoded')
def decode_one(context):
    """Send a request and stop the simulation in the middle of its answer."""
    workload = workloads.make_workload('lynreg')._replace(
        service='analyst', client_accounts=('analysts',)
    )
    arrival = workloads.poisson_arrivals(workload, 10.0, 1.0, 3, start=4.0)[0]
    context.simulation.run([arrival], arrival.time + 2.0)
    outcome = context.simulation.outcomes[0]
    assert 0 < outcome.output_tokens < arrival.max_tokens, outcome.reason


@then('the gauge {name} is {level:d}')
def check_gauge(context, name, level):
    """Compare one gauge of the daemon."""
    router = context.simulation.nodes[0].router
    assert router.gauges()[name] == level, router.gauges()
