# PYTHON is the interpreter that has requirements-dev.txt installed.
PYTHON ?= python3

.PHONY: check
check:
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest
