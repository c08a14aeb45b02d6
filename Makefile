PYTHON ?= python3.11
BIN := .venv/bin
export UV_USE_IO_URING := 0

.PHONY: demo test docs lint format dist clean

demo: .venv/ready
	$(BIN)/python -m standins.demo

test: .venv/ready
	$(BIN)/python -m tests.run

docs: .venv/ready
	$(BIN)/python -m tools.reference

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8

format: .venv/ready
	$(BIN)/ruff format .

dist: dist/pomelobend

dist/pomelobend: .venv/ready pyproject.toml $(shell find pomelobend -name '*.py')
	$(BIN)/python -m tools.build $@

.venv/ready: requirements.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

clean:
	rm -rf dist build *.egg-info .hypothesis
