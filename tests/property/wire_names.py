"""Finds the names that leave the process, in syntax trees and by import.

Every function returns rows: a name, or an object's names in their order. A
part of a name that is computed stands as ``<>``. Folders are those below the
package; ``''`` is the package itself.
"""

import ast
import functools
import importlib
import inspect
import pathlib
import pkgutil
import re

import msgspec

from primrosereel import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LEVELS = ('debug', 'info', 'warning', 'error', 'exception')
# What structlog's processors add to each line.
PROCESSORS = {'add_log_level': 'level', 'TimeStamper': 'timestamp'}


def texts(node, names):
    """Return the texts that an expression may be, as far as it tells."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.Constant) and isinstance(node.value, bytes):
        return [node.value.decode('latin-1')]
    if isinstance(node, ast.IfExp):
        return texts(node.body, names) + texts(node.orelse, names)
    if isinstance(node, ast.JoinedStr):
        parts = [
            texts(p.value if isinstance(p, ast.FormattedValue) else p, names)
            for p in node.values
        ]
        return [''.join(part[0] if part else '<>' for part in parts)]
    return names.get(node.id, []) if isinstance(node, ast.Name) else []


@functools.cache
def _trees(folder):
    """Return modules' nodes, and the texts that their names stand for."""
    found = []
    for file in sorted((ROOT / 'primrosereel' / folder).glob('*.py')):
        tree, names = ast.parse(file.read_text()), {}
        for node in ast.walk(tree):
            if isinstance(node, ast.Assign):
                name = getattr(node.targets[0], 'id', None)
                names[name] = texts(node.value, names)
        found.append((list(ast.walk(tree)), names))
    return found


def nodes(kind, *folders):
    """Yield the nodes of a kind, with the texts of the module's names."""
    for folder in folders:
        for walked, names in _trees(folder):
            for node in walked:
                if isinstance(node, kind):
                    yield node, names


@functools.cache
def strings(*folders):
    """Return all texts; parts of a formatted text only as the whole."""
    whole = list(nodes((ast.Constant, ast.JoinedStr), *folders))
    inner = {p for n, _ in whole for p in getattr(n, 'values', ())}
    return {t for n, names in whole if n not in inner for t in texts(n, names)}


def matching(pattern, *folders):
    """Return the texts that a pattern describes."""
    return {(s,) for s in strings(*folders) if re.fullmatch(pattern, s)}


def headers(others, *folders):
    """Return texts with the form of a header, in lower case.

    Text without a hyphen counts if it is bytes or in a set of headers.
    """
    found = {
        text
        for node, _ in nodes(ast.Constant, *folders)
        for text in texts(node, {})
        if re.fullmatch(r'[A-Za-z]+(-[A-Za-z]+)*', text)
        and ('-' in text or isinstance(node.value, bytes))
    }
    for node, _ in nodes(ast.Set, *folders):
        members = {text for part in node.elts for text in texts(part, {})}
        found |= members if members & found else set()
    return {(name.lower(),) for name in found - others}


def path(name):
    """Return a path without host, query and what is computed at its end."""
    name = re.sub(r'^(http://)?(<>)*', '', name).partition('?')[0]
    return re.sub(r'(<>/?)+$', '', name)


def paths(start, *folders):
    """Return the paths that begin as a pattern says."""
    found = {path(text) for text in strings(*folders)}
    return {(p,) for p in found if re.fullmatch(start + r'[.<>\w/-]+', p)}


def classes(base, *folders):
    """Yield the classes that are defined below a base, and their modules."""
    for folder in folders:
        package = importlib.import_module(f'primrosereel.{folder}'.strip('.'))
        for row in pkgutil.iter_modules(package.__path__):
            if row.ispkg or row.name == '__main__':
                continue
            name = f'{package.__name__}.{row.name}'
            module = importlib.import_module(name)
            for _, found in inspect.getmembers(module, inspect.isclass):
                if issubclass(found, base) and found.__module__ == name:
                    yield module, found


def structs(*folders, array=False, toml=False):
    """Return the encoded names of structs' fields, after the tag if any.

    ``array`` asks for those that are written as arrays, ``toml`` for those of
    modules that read TOML.
    """
    rows = set()
    for module, found in classes(msgspec.Struct, *folders):
        config = found.__struct_config__
        is_base = bool(found.__subclasses__())
        if is_base or (config.array_like, hasattr(module, 'tomllib')) != (
            array,
            toml,
        ):
            continue
        tag = () if config.tag is None else (config.tag,)
        rows.add((*tag, *found.__struct_encode_fields__))
    return rows


def objects(*folders):
    """Return the keys of objects that are written as literals."""
    rows = set()
    for node, names in nodes(ast.Dict, *folders):
        keys = [t for k in node.keys if k for t in texts(k, names)]
        first = [t for v in node.values[:1] for t in texts(v, names)]
        is_asgi = first and re.match(r'(http|lifespan)\.', first[0])
        if not is_asgi and all(re.fullmatch('[A-Za-z_]+', k) for k in keys):
            rows.add(tuple(keys))
    for node, _ in nodes(ast.Subscript, *folders):
        if isinstance(node.ctx, ast.Store):
            rows.add(tuple(texts(node.slice, {})))
    for text in strings(*folders):
        rows |= {(name,) for name in re.findall(r'\?(\w+)=<>', text)}
    return rows - {()}


def settings_keys(*place):
    """Ask the parser which keys it knows, with a key that it does not."""
    body = {'?': 1}
    for name in reversed(place):
        body = {name: body}
    rows = set()
    for fault in settings.parse(msgspec.json.encode(body)).failure():
        known = fault.allowed.partition('one of ')[2]
        if fault.path == '.'.join((*place, '?')) and known:
            for name in known.split(', '):
                key = (*place, name)
                rows |= settings_keys(*key) or {('.'.join(key),)}
    return rows


def calls(methods, *folders):
    """Yield the calls of methods with each text of the first argument."""
    for node, names in nodes(ast.Call, *folders):
        if getattr(node.func, 'attr', '') in methods and node.args:
            for text in texts(node.args[0], names):
                yield node, text


def flags(*folders):
    """Return the arguments of commands, with their literal choices."""
    rows = set()
    for node, name in calls(['add_argument'], *folders):
        choices = [k.value for k in node.keywords if k.arg == 'choices']
        given = getattr(choices[0], 'elts', ()) if choices else ()
        rows.add((name, *(c.value for c in given)))
    return rows


def metrics(method, *folders):
    """Return the names that are handed to a method of the metrics."""
    rows = {name for _, name in calls([method], *folders)}
    return {(r,) for r in rows if re.fullmatch(r'[a-z_.<>]+', r)}


def dotted_keys(*folders):
    """Return keys with dots, which are names of gauges."""
    rows = set()
    for node, names in nodes((ast.Dict, ast.Subscript), *folders):
        keys = node.keys if isinstance(node, ast.Dict) else [node.slice]
        rows |= {text for key in keys if key for text in texts(key, names)}
    return {(r,) for r in rows if re.fullmatch(r'[a-z]+(\.[a-z<>]+)+', r)}


def steps(*folders):
    """Return the names of durations, which are keys of log lines."""
    return matching(r'[a-z_]+[a-z]_s', *folders)


def step_keywords(*folders):
    """Return the names that are given as keywords beside the durations."""
    return {
        keyword.arg
        for node, _ in nodes(ast.Call, *folders)
        if ast.unparse(node.func).endswith('.steps.update')
        for keyword in node.keywords
    }


def histograms(*folders):
    """Return the histograms: given by name, or made of a list of steps."""
    rows = metrics('observe', *folders)
    for node, _ in nodes(ast.Tuple, *folders):
        found = {(t,) for part in node.elts for t in texts(part, {})}
        if found <= steps(*folders):
            rows |= {(t.removesuffix('_s') + '_seconds',) for (t,) in found}
    return rows


def events(*folders):
    """Return log events, each with all keys that any line of it has."""
    bound, rows = {}, {}
    for node, _ in nodes((ast.FunctionDef, ast.AsyncFunctionDef), *folders):
        for call in ast.walk(node):
            if getattr(getattr(call, 'func', None), 'attr', '') == 'bind':
                keys = {k.arg for k in call.keywords}
                bound |= dict.fromkeys(ast.walk(node), keys)
    for folder in folders:
        for node, event in calls(LEVELS, folder):
            keys = rows.setdefault(event, set())
            keys |= {k.arg for k in node.keywords} | bound.get(node, set())
            if node.func.attr == 'exception' or 'exc_info' in keys:
                keys.add('exception')
            if None in keys:
                keys |= {name for (name,) in steps(folder)}
                keys |= step_keywords(folder)
            keys -= {None, 'exc_info'}
    for text in strings(*folders):
        names = re.findall(r'"(\w+)": (?:"(.+?)")?', text)
        if names and names[0][0] == 'event':
            rows[names[0][1]] = {name for name, _ in names[1:]}
    return {(event, *sorted(keys)) for event, keys in rows.items()}


def common_fields(*folders):
    """Return the keys that every log line has."""
    rows = {('event',)}
    for node, _ in nodes(ast.Attribute, *folders):
        rows |= {(v,) for k, v in PROCESSORS.items() if k == node.attr}
    for node, _ in nodes(ast.Call, *folders):
        name = ast.unparse(node.func)
        if name.endswith('.configure') and name != 'structlog.configure':
            rows |= {(k.arg,) for k in node.keywords}
    return rows


def labels(*folders):
    """Return the labels of metrics."""
    rows = set()
    for node, _ in nodes(ast.keyword, *folders):
        if node.arg == 'labels':
            rows |= {(t,) for part in node.value.elts for t in texts(part, {})}
    return rows


def programs(*folders):
    """Return the modules that are started by name."""
    rows = set()
    for folder in folders:
        for file in (ROOT / folder).rglob('*.py'):
            started = re.search(
                r'^if __name__', file.read_text(), re.MULTILINE
            )
            if started or file.name == '__main__.py':
                module = '.'.join(file.relative_to(ROOT).with_suffix('').parts)
                rows.add((module.removesuffix('.__main__'),))
    return rows
