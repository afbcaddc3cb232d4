# Two commands from a clean clone: `make demo` shows the main job, `make test` runs all checks.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: demo test known-red soak lab clean

demo: .venv/.serving
	$(BIN)/python examples/demo.py

test: .venv/.testing
	$(BIN)/ruff format --check . && $(BIN)/ruff check . && $(BIN)/mypy && $(BIN)/python -m pytest -n 4 --dist worksteal

known-red: .venv/.testing
	$(BIN)/python -m tests.known_red

soak: .venv/.testing
	$(BIN)/python -m tests.soak --first $(or $(FIRST),1) --seeds $(or $(SEEDS),50)

lab: .venv/.testing
	$(BIN)/python -m seamlb lab run examples/lab/flood.toml --out docs/results/lab

.venv/.serving: requirements.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements.txt
	touch $@

.venv/.testing: pyproject.toml requirements.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -e '.[test]'
	touch $@

clean:
	rm -rf .venv build *.egg-info
