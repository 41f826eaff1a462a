PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: test check deployable demo format

export PYTHONPATH = src

TESTS ?=

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: $(VENV)/.installed check

check:
	$(BIN)/ruff format --check src tools
	$(BIN)/ruff check src tools
	$(BIN)/flake8 src tools
	$(BIN)/mypy
	$(BIN)/python -W ignore tools/generate.py --check
	$(BIN)/python tools/check_pages.py
	$(MAKE) deployable
	$(BIN)/python -m bilberryglade_lab.run_tests $(TESTS)

# The build of the platform's deploy file, into a scratch folder.
deployable:
	deploy/build build/deps
	PYTHONPATH=build/deps $(PYTHON) -c 'import bilberryglade.platform.__main__'

format: $(VENV)/.installed
	$(BIN)/ruff check --fix src tools
	$(BIN)/ruff format src tools

demo: $(VENV)/.installed
	$(BIN)/python -m bilberryglade_lab demo $(ARGS)
