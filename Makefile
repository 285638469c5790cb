# Two commands do all set-up on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test check bench faults docs format clean capacity routing speed

.venv/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: .venv/.installed
	$(BIN)/python -m bench.demo

test: .venv/.installed check
	PYTHONHASHSEED=0 $(BIN)/python -m pytest
	$(BIN)/behave --format progress

check: .venv/.installed
	$(BIN)/black --check --quiet src tests standins bench features deploy
	$(BIN)/ruff check --quiet src tests standins bench features deploy
	$(BIN)/mypy
	$(BIN)/python -m bench.tables

format: .venv/.installed
	$(BIN)/black --quiet src tests standins bench features deploy
	$(BIN)/ruff check --quiet --fix src tests standins bench features deploy

bench: .venv/.installed
	$(BIN)/python -m bench.speed

faults: .venv/.installed
	$(BIN)/python -m bench.faults

docs: .venv/.installed
	$(BIN)/python -m bench.tables --write

clean:
	rm -rf .venv build dist

capacity: .venv/.installed
	$(BIN)/python -m bench.capacity

speed: .venv/.installed
	$(BIN)/python -m bench.leased_speed

routing: .venv/.installed
	$(BIN)/python -m bench.routing
