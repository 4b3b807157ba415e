PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: env demo test lint format bench

env: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

test: env
	$(BIN)/python -m tests $(TESTS)

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 fulmarseam tests
	$(BIN)/mypy
	$(BIN)/lint-imports

format: env
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: env
	$(BIN)/fulmarseam-bench --scenario=demo

bench: env
	$(BIN)/fulmarseam-bench --scenario=all
