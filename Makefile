VENV ?= .venv
PY := $(VENV)/bin/python
# An environment of another kind of machine is made anew.
LOCKED := $(VENV)/.locked-$(shell uname -m)
SEED ?= 1
export PYTHONPATH := $(CURDIR)/src:$(CURDIR):$(CURDIR)/platform

.PHONY: env test lint format unit bench demo soak relay-soak

env: $(LOCKED)

$(LOCKED): requirements.lock
	test -e $@ || python3 -m venv --clear $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

lint: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 src platform tests stubs bench

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

unit: env
	$(PY) -m tests.known_red

test: lint unit

bench: env
	$(PY) -m bench

demo: env
	$(PY) -m stubs.demo

soak: env
	$(PY) -m tests.soak --seed $(SEED)

relay-soak: env
	$(PY) -m tests.relaysoak --seed $(SEED)
