PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup test check unit demo measure format

setup: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

unit: setup
	$(BIN)/python -m pytest

test: check unit
	@echo "make test: all checks passed"

demo: setup
	$(BIN)/python -m scripts.demo

measure: setup
	$(BIN)/python -m bench.measure $(ARGS)
	$(BIN)/python -m bench.scale $(ARGS)
