PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: install lint format test demo model bench-path chaos soak slopes bench \
	play hunt

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: install
	$(BIN)/ruff format src emulator model tests

lint: install
	$(BIN)/ruff format --check src emulator model tests
	$(BIN)/ruff check src emulator model tests
	$(BIN)/flake8 src emulator model tests
	$(BIN)/mypy
	$(BIN)/lint-imports

TEST_JOBS ?= auto
MAX_TEST_JOBS ?= 6

test: install
	$(BIN)/python -m pytest -q --numprocesses $(TEST_JOBS) \
		--maxprocesses $(MAX_TEST_JOBS) --dist worksteal tests

demo: install
	$(BIN)/python -m emulator.demo $(if $(EXAMPLE),--example $(EXAMPLE))

model: install
	$(BIN)/python -m model

bench: install
	$(BIN)/python -m emulator.bench

bench-path: install
	$(BIN)/python -m emulator.bench_path

SEED ?= 1
RUNS ?= 10

chaos: install
	$(BIN)/python -m emulator.chaos --seed $(SEED) --runs $(RUNS)

SEEDS ?= $(SEED)
MINUTES ?= 0.5
JOBS ?= 1

soak: install
	$(BIN)/python -m emulator.soak --seeds $(SEEDS) --minutes $(MINUTES) \
		--jobs $(JOBS)

BENCH ?= ../given/kit/more/system/bin/fleetbench
DAYS ?= 40

play:
	$(BENCH) run $(SITE) $(DAY)

hunt:
	$(BENCH) hunt $(SITE) --days $(DAYS)

slopes: install
	$(BIN)/python -m emulator.slopes
