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
	$(BIN)/ruff check hyssoptack bench soak conftest.py
	$(BIN)/ruff format --check hyssoptack bench soak conftest.py

format: setup
	$(BIN)/ruff check --fix --exit-zero hyssoptack bench soak
	$(BIN)/ruff format hyssoptack bench soak

SLOPES := upstream-client peer-message stages plan gossip memory claims charts teams

.PHONY: proofs measures slopes $(addprefix slopes-,$(SLOPES))

SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1

.PHONY: soak
soak: setup
	$(BIN)/python -m soak.main --first-seed $(SOAK_FIRST) --seeds $(SOAK_SEEDS)

proofs: setup
	$(BIN)/python -m pytest bench/proofs -rP

measures: setup
	$(BIN)/python -m bench.measures

slopes: $(addprefix slopes-,$(SLOPES))

$(addprefix slopes-,$(SLOPES)): slopes-%: setup
	$(BIN)/python -m bench.slopes.$(subst -,_,$*)
