# The set-up on a machine with Python 3.11 is `make demo` or `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: all demo test lint format clean

all: test

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/primrosereel demo

test: $(VENV)/.installed
	$(BIN)/python -m tests.run

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 primrosereel tests
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) .hypothesis .mypy_cache .ruff_cache build out *.egg-info
