"""The page of outer names and the code name the same things.

Each ``##`` section of the page has tables whose first column holds names in
backticks: a row is one name, or an object's names. ``wire_names`` finds the
same rows in the code. ``<...>`` in a name stands for what is computed.
"""

import enum
import functools
import re
import tomllib

import pytest

from primrosereel import _registry as registry
from tests.property import wire_names as found

PAGE = (found.ROOT / 'docs' / 'wire-names.md').read_text()
# Texts with the form of a header that are methods, values or other names.
NO_HEADERS = {
    *(
        'GET',
        'HEAD',
        'POST',
        'DELETE',
        'Bearer',
        'Token',
        'chunked',
        'close',
        'true',
    ),
    *('timeout', 'prefill', 'no-store', 'expected-completion'),
    'routing-policy',
}
# A parsed call and a module stay in the process; the method of gRPC and a
# header are listed elsewhere.
INTERNAL = {
    ('service', 'prompt', 'prompt_tokens', 'max_tokens', 'stream'),
    ('sniffio',),
    ('Exchange',),
    ('authorization',),
}
PATH = '/(?!etc/|standin/)'


def _json(folder):
    return (found.structs(folder) | found.objects(folder)) - INTERNAL


def _enums():
    """Return enumerations; of the core's own only those written out."""
    written = {
        node.value.attr
        for node, _ in found.nodes(found.ast.Attribute, 'core')
        if node.attr == 'value' and hasattr(node.value, 'attr')
    }
    folders = ('', 'routing', 'routing.blame')
    rows = [row for _, row in found.classes(enum.Enum, *folders)]
    core = [row for _, row in found.classes(enum.Enum, 'core')]
    rows += [row for row in core if row.__name__.lower() in written]
    return {tuple(member.value for member in row) for row in rows}


def _deploy(table, path=''):
    rows = set()
    for name, value in table.items():
        if isinstance(value, dict):
            rows |= _deploy(value, f'{path}{name}.')
        else:
            rows.add((f'{path}{name}',))
    return rows


def _files():
    project = tomllib.loads((found.ROOT / 'pyproject.toml').read_text())
    rows = {(name,) for name in project['project']['scripts']}
    for pattern in ('deploy/*.*', 'KNOWN-RED*'):
        files = found.ROOT.glob(pattern)
        rows |= {(str(file.relative_to(found.ROOT)),) for file in files}
    rows |= found.programs('primrosereel', 'tests')
    return rows | found.matching(r'/etc/.*|\w+\.json5', 'platform', 'bench')


def _standins():
    rows = found.structs('standin') - found.structs('daemon')
    rows |= found.paths('/standin/', 'standin')
    rows |= {(name,) for _, name in found.calls(['pop'], 'standin')}
    return rows | {r for r in found.objects('standin') if 'listening' in r}


def _prefixes():
    prefixes = found.matching('primrosereel_?', 'daemon', 'gateway')
    return prefixes | found.labels('gateway')


ARRAYS = {
    'Messages between daemons': lambda: found.structs(
        'core', 'daemon', 'text', array=True
    ),
    'Datagram of a gateway': lambda: found.structs('gateway', array=True),
}
OTHERS = {
    'HTTP headers of a daemon': lambda: found.headers(NO_HEADERS, 'daemon'),
    'HTTP headers of a gateway': lambda: found.headers(
        NO_HEADERS, 'gateway', 'platform'
    ),
    'HTTP paths of a daemon': lambda: found.paths(PATH, 'daemon', 'cmd'),
    'HTTP paths of a gateway': lambda: found.paths(
        PATH, 'gateway', 'platform'
    ),
    'JSON of a daemon': lambda: _json('daemon'),
    'JSON of a gateway': lambda: _json('platform'),
    'JSON of the tool': lambda: _json('cmd'),
    'Enumeration values': _enums,
    'Settings of a daemon': found.settings_keys,
    'Settings of a gateway': lambda: found.structs('platform', toml=True),
    "Operators' text": lambda: found.structs('text'),
    'Deploy file': lambda: _deploy(
        tomllib.loads((found.ROOT / 'deploy' / 'system.toml').read_text())
    ),
    'Flags and arguments': lambda: found.flags('cmd', 'standin'),
    'Environment variables': lambda: found.matching(
        'PRIMROSEREEL_[A-Z_]+', *ROUTER, 'settings', 'bench', 'standin'
    ),
    'Registered parts': lambda: {
        (kind, *registry.names(kind)) for kind in registry.PARTS
    },
    'Fields of every log line': lambda: found.common_fields(
        'daemon', 'gateway', 'cmd'
    ),
    'Log events of a daemon': lambda: found.events('daemon', 'core'),
    'Log events of a gateway': lambda: found.events('gateway', 'cmd'),
    'Prefixes and labels of metrics': _prefixes,
    'Counters of a daemon': lambda: found.metrics('count', 'core', 'daemon'),
    'Gauges of a daemon': lambda: found.dotted_keys('core'),
    'Counters of a gateway': lambda: found.metrics('count', 'gateway'),
    'Gauges of a gateway': lambda: (
        found.metrics('gauge', 'gateway')
        | found.metrics('gauge_accounts', 'gateway')
    ),
    'Histograms of a gateway': lambda: found.histograms('gateway'),
    'Files and programs': _files,
    'Stand-ins': _standins,
}
WORDS = 'Words and values'
# A stand-in's own copy of a word does not keep the word in the router.
ROUTER = ('', 'core', 'daemon', 'gateway', 'platform', 'routing', 'cmd')


def _page():
    """Return the rows of each section of the page, as they are listed."""
    rows = {}
    for section in re.split(r'^## ', PAGE, flags=re.MULTILINE)[1:]:
        lines = re.findall(r'^\|(.*?)\|(.*)\|$', section, re.MULTILINE)
        rows[section.partition('\n')[0]] = [
            (tuple(re.findall(r'`([^`]+)`', names)), meaning.strip())
            for names, meaning in lines
            if '`' in names
        ]
    return rows


LISTED = _page()


def _form(title, names):
    """Bring a row into the form that is compared; arrays keep the order."""
    names = [re.sub('<[^>]*>', '<>', name) for name in names]
    if title in ARRAYS:
        return tuple(names)
    if 'headers' in title:
        names = [name.lower() for name in names]
    if 'paths' in title or title == 'Stand-ins':
        names = [found.path(name) for name in names]
    # An event or a kind comes first; the order of the others has no meaning.
    first = 'Log events' in title or title == 'Registered parts'
    return (*names[:first], *sorted(names[first:]))


@functools.cache
def _both(title):
    collect = {**ARRAYS, **OTHERS}[title]
    code = {_form(title, row) for row in collect()}
    page = {_form(title, row) for row, _ in LISTED.get(title, ())}
    return code, page


def _lines(rows):
    return '\n'.join(', '.join(row) for row in sorted(rows))


@pytest.mark.parametrize('title', [*ARRAYS, *OTHERS])
def test_names_in_code_are_on_page(title):
    """Guards against an outer name that is new or renamed in the code."""
    code, page = _both(title)
    assert code <= page, _lines(code - page)


@pytest.mark.parametrize('title', [*ARRAYS, *OTHERS])
def test_names_on_page_are_in_code(title):
    """Guards against an outer name that the code has lost."""
    code, page = _both(title)
    assert page <= code, _lines(page - code)


def test_words_are_in_code():
    """Guards against a word or value that no code writes or reads."""
    words = {_form(WORDS, row) for row, _ in LISTED[WORDS]}
    known = {(text,) for text in found.strings(*ROUTER)}
    assert words <= known, _lines(words - known)


def test_media_types_and_store_keys_are_words():
    """Guards against a media type or key of the store that is not listed."""
    code = found.matching(
        '[a-z]+/[a-z+-]*', 'daemon', 'gateway', 'platform'
    ) | found.matching('[a-z]+_(role|model|adapter)', 'core')
    words = {_form(WORDS, row) for row, _ in LISTED[WORDS]}
    assert code <= words, _lines(code - words)


def test_sections_are_known():
    """Guards against a section that nothing holds to the code."""
    assert {*LISTED} == {*ARRAYS, *OTHERS, WORDS}


def test_each_row_tells_what_it_holds():
    """Guards against a name that is listed without a meaning."""
    rows = [row for section in LISTED.values() for row in section]
    assert [names for names, meaning in rows if not meaning] == []
