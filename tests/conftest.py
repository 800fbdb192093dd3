"""Ids of parametrized tests."""


def pytest_make_parametrize_id(config, val, argname):
    """Keep spaces out of node ids, so that KNOWN-RED.txt can list them."""
    del config, argname
    return val.replace(' ', '-') if isinstance(val, str) else None
