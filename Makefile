PYTHON ?= python3
VENV ?= .venv
SEED ?= 1
JOBS ?= 4
BIN = $(VENV)/bin
READY = $(VENV)/.kumquatproxy-installed

.PHONY: demo test measure fuzz lint format

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --prefer-binary --editable ".[dev]"
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m kumquatproxy demo

test: $(READY)
	$(BIN)/python -m pytest -n $(JOBS) --dist loadfile

measure: $(READY)
	$(BIN)/python -m kumquatproxy bench all

fuzz: $(READY)
	FUZZ_SEED=$(SEED) $(BIN)/python -m pytest -m fuzz --hypothesis-seed=$(SEED)

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy kumquatproxy

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
