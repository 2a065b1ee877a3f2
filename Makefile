PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test check catalogues fuzz soak

.venv/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch .venv/installed

demo: .venv/installed
	$(BIN)/python -m demo.run

test: .venv/installed
	$(BIN)/python -m tests.run

check: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

catalogues: .venv/installed
	$(BIN)/python -m tests.catalogues

# SEED and SEEDS choose what is played; KEEP takes the logs of broken seeds.
soak: .venv/installed
	$(BIN)/python -m soak.run --seed=$(or $(SEED),$(shell date +%s)) \
		--seeds=$(or $(SEEDS),5) --keep=$(or $(KEEP),target/soak)

fuzz: .venv/installed
	HYPOTHESIS_PROFILE=long $(BIN)/python -m tests.run fuzz
