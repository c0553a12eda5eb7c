PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: all test lint demo bench bench-gateway bench-ownership clean

all: lint test

# --no-deps keeps to the locked versions; the project itself is editable.
$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

test: $(STAMP)
	$(VENV)/bin/python -W error::ResourceWarning -m tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src tests examples
	$(VENV)/bin/ruff check src tests examples
	$(VENV)/bin/flake8 src tests examples
	$(VENV)/bin/mypy

demo: $(STAMP)
	$(VENV)/bin/lentilgauge-load demo

bench: $(STAMP)
	$(VENV)/bin/lentilgauge-load bench-entry

bench-gateway: $(STAMP)
	$(VENV)/bin/lentilgauge-load bench-gateway

bench-ownership: $(STAMP)
	$(VENV)/bin/lentilgauge-load bench-ownership

clean:
	rm -rf $(VENV) build src/*.egg-info
