VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready
SEED ?= 1
MINUTES ?= 1
COUNT ?= 1

.PHONY: demo test lint bench soak faults

$(READY): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(READY)
	$(PYTHON) -m standins demo

test: $(READY)
	$(PYTHON) -m pytest

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

bench: $(READY)
	$(PYTHON) -m bench all --seed $(SEED)

soak: $(READY)
	$(PYTHON) -m tests.soak --seed $(SEED) --minutes $(MINUTES)

faults: $(READY)
	$(PYTHON) -m tests.faults --seed $(SEED) --count $(COUNT)
