"""Steps that run EntrySystem in virtual time."""

from behave import given
from behave import then
from behave import when

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages
from tests import entry_model


def _request(context):
    return context.model.requests[context.name]


@given('entry: an owner that is {mode}')
def given_owner(context, mode):
    """Build the model."""
    context.model = entry_model.Model(3)
    context.model.owner_mode = mode


@when('entry: a request for {tokens:d} tokens, then {seconds:g} seconds')
def send_request(context, tokens, seconds):
    """Send a request and let time pass."""
    context.name = context.model.submit(tokens)
    context.model.advance(seconds)


@when('entry: {seconds:g} seconds pass')
def pass_time(context, seconds):
    """Let time pass."""
    context.model.advance(seconds)


@when('entry: engines {names} are {state}')
def set_engines(context, names, state):
    """Fill engines, or free them."""
    for name in names.split(','):
        context.model.engines[name].full = state == 'full'


@when('entry: the last grant request does not reach the owner')
def fail_grant_request(context):
    """Report that the owner could not be reached."""
    _fail_last(context, messages.GrantRequest)


@when('entry: the last report does not reach the owner')
def fail_report(context):
    """Report that the owner did not get the last progress report."""
    _fail_last(context, messages.Progress)


def _fail_last(context, kind):
    sent = [
        e
        for e in context.model.emitted(messages.SendPeer)
        if isinstance(e.message, kind)
    ]
    failed = messages.PeerFailed(sent[-1].destination, (sent[-1].message,))
    context.model.handle(failed)


@when('entry: the first grant request is granted late')
def grant_late(context):
    """Deliver a grant of the first attempt."""
    context.model.peer(messages.Grant(context.name, 1, 'p1', 'd1', 30.0))


@when("entry: the stream's engine crashes")
def kill_engine(context):
    """Stop the engine that decodes."""
    context.model.kill(_request(context).decode_runner)


@when("entry: the stream's connection goes silent")
def cut_connection(context):
    """Cut the connection without a close event."""
    context.model.cut(_request(context).decode_runner)


@when('entry: answers of engines are lost')
def lose_answers(context):
    """Lose all answers."""
    context.model.network.lost = 1.0


@when('entry: answers of engines arrive')
def deliver_answers(context):
    """Lose no answer."""
    context.model.network.lost = 0.0


@when('entry: the caller leaves')
def leave(context):
    """The caller closes its connection."""
    context.prefill = context.model.emitted(messages.StartPrefill)[-1]
    context.model.leave(context.name)


@when('entry: the cancelled prefill answers')
def answer_prefill(context):
    """Deliver an answer to a prefill that was cancelled."""
    call = context.prefill
    kv = messages.KvTransfer('h', call.runner, 100, 1000)
    context.model.handle(
        messages.PrefillDone(
            call.request_id, call.attempt, call.runner, kv, 0, 0.1
        )
    )


@when('entry: other tokens of an old attempt arrive')
def deliver_old_tokens(context):
    """Deliver tokens of the runner under another attempt."""
    request = _request(context)
    context.model.handle(
        messages.TokensReceived(
            request.id,
            request.attempt - 1,
            request.decode_runner,
            len(request.sent_tokens),
            ('x',),
        )
    )


@when('entry: the engine sends all tokens and {number:d} more')
def overrun(context, number):
    """Deliver tokens that go past the request's limit."""
    request = _request(context)
    start = len(request.sent_tokens)
    tokens = tuple(
        entry_model.token(context.name, n)
        for n in range(start, request.call.max_tokens + number)
    )
    context.model.handle(
        messages.TokensReceived(
            request.id, request.attempt, request.decode_runner, start, tokens
        )
    )


@when('entry: the owner sends {kind}')
def send_peer(context, kind):
    """Deliver an order of the owner."""
    request = _request(context)
    context.model.peer(getattr(messages, kind)(request.id, request.attempt))


@when('entry: the daemon drains')
def drain(context):
    """Ask the daemon to stop, as the membership system would."""
    context.model.world.draining = True
    context.model.handle(messages.DrainRequested())


@then('entry: the caller has {tokens:d} tokens and the end "{end}"')
def check_caller(context, tokens, end):
    """Compare what the caller received."""
    model = context.model
    expected = [entry_model.token(context.name, n) for n in range(tokens)]
    assert model.received[context.name] == expected, model.received[
        context.name
    ]
    assert model.ends[context.name] == [end], model.ends[context.name]


@then('entry: the refusal says "{ran}"')
def check_ran(context, ran):
    """Compare the execution state in the refusal."""
    refusal = context.model.emitted(messages.RefuseCaller)[-1]
    assert refusal.ran.value == ran


@then('entry: {kind} was emitted {number:d} times')
def check_emitted(context, kind, number):
    """Count effects of a kind."""
    emitted = context.model.emitted(getattr(messages, kind))
    assert len(emitted) == number, emitted


@then('entry: counter "{name}" is {number:d}')
def check_counter(context, name, number):
    """Compare a counter."""
    assert context.model.counts.get(name, 0) == number, context.model.counts


@then('entry: the owner was sent "{stage}" {number:d} times')
def check_progress(context, stage, number):
    """Count progress reports of a stage."""
    sent = context.model.emitted(messages.SendPeer)
    stages = [
        e.message.stage.value
        for e in sent
        if isinstance(e.message, messages.Progress)
    ]
    assert stages.count(stage) == number, stages


@then('entry: no engine holds anything')
def check_held(context):
    """No engine memory is left."""
    assert context.model.held == set(), context.model.held


@then(
    "entry: of the stream's id, an old id and a foreign id "
    'the old one is unneeded'
)
def check_holder(context):
    """Compare the answer to a HolderQuery."""
    request = _request(context)
    old_id = ids.engine_request_id(request.id, 99)
    queried = (
        ids.engine_request_id(request.id, request.attempt),
        old_id,
        ids.EngineRequestId('entry-2.7.1.1'),
    )
    context.model.peer(messages.HolderQuery(request.decode_runner, queried))
    reply = context.model.emitted(messages.SendPeer)[-1].message
    assert reply == messages.HolderReply(request.decode_runner, (old_id,)), (
        reply
    )
