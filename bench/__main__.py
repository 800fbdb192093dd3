"""Runs the given benchmarks, or all of them."""

import importlib
import pkgutil
import sys

import msgspec

import bench


def _names() -> list[str]:
    found = [m.name for m in pkgutil.iter_modules(bench.__path__)]
    return [n for n in found if _is_bench(n)]


def _is_bench(name: str) -> bool:
    if name.startswith('_'):
        return False
    return hasattr(importlib.import_module(f'bench.{name}'), 'run')


def main(names: list[str]) -> int:
    """Run benchmarks one after another; return the exit code."""
    for name in names or _names():
        module = importlib.import_module(f'bench.{name}')
        for result in module.run():
            print(msgspec.json.encode(result).decode(), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
