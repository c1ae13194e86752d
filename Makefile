PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= dakar

.PHONY: setup demo test lint format

$(VENV)/ready: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

setup: $(VENV)/ready

demo: setup
	$(BIN)/python -m bench.demo $(DEPLOYMENT)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check hyssoptack bench
	$(BIN)/ruff format --check hyssoptack bench

format: setup
	$(BIN)/ruff check --fix --exit-zero hyssoptack bench
	$(BIN)/ruff format hyssoptack bench
