PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test bench plots fuzz lint format clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/gentianhoist demo

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: lint
	$(BIN)/python -m pytest -q

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest -q tests --hypothesis-seed=$(or $(SEED),0)

bench: $(STAMP)
	$(BIN)/python -m benchmarks run --all

plots: $(STAMP)
	$(BIN)/python -m benchmarks plot

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) build *.egg-info
