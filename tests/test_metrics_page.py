import ast
import pathlib
import re

_ROOT = pathlib.Path(__file__).parent.parent
_PAGE = _ROOT / 'docs' / 'METRICS.md'
_METRIC_METHODS = {'incr', 'gauge', 'timing_ms'}


def _metric_name(node):
    match node:
        case ast.Constant(value=str() as text):
            return text
        case ast.JoinedStr(values=parts):
            return ''.join(
                part.value if isinstance(part, ast.Constant) else '<reason>'
                for part in parts
            )
    return None


def _metric_names(text):
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        if getattr(node.func, 'attr', '') in _METRIC_METHODS:
            name = _metric_name(node.args[0])
            if name is not None:
                yield name


def test_every_metric_is_documented():
    documented = set(re.findall(r'^\| `([^`]+)`', _PAGE.read_text(), re.M))
    used = set()
    for path in (_ROOT / 'src' / 'parsleystile').glob('*.py'):
        used |= set(_metric_names(path.read_text()))
    assert len(used) > 5
    assert used <= documented, used - documented


def test_names_with_a_variable_part_are_found():
    source = "m.incr(f'a.{r}')\nm.gauge('b', 1)\nm.incr(name)"
    assert set(_metric_names(source)) == {'a.<reason>', 'b'}
