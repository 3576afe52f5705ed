VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test lint format build

demo: $(VENV)/.installed
	$(PYTHON) -m standins.demo

test: $(VENV)/.installed
	$(PYTHON) -m pytest

lint: $(VENV)/.installed
	$(PYTHON) -m black --check -q .
	$(PYTHON) -m ruff check -q .
	$(PYTHON) -m mypy

format: $(VENV)/.installed
	$(PYTHON) -m black -q .
	$(PYTHON) -m ruff check -q --fix .

$(VENV)/.installed: pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -e '.[dev]'
	touch $@

build: $(VENV)/.installed
	rm -rf build
	mkdir -p dist
	$(VENV)/bin/shiv -q --reproducible -c celeryrun -p "/usr/bin/env python3" -o dist/celeryrun .
