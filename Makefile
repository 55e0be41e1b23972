# `make demo`, `make check` and `make bench` make a .venv of their own; PYTHON=... names another interpreter that has
# requirements-dev.txt installed.
PYTHON ?= .venv/bin/python
DEVELOPED := $(if $(filter .venv/bin/python,$(PYTHON)),.venv/developed)

.PHONY: check demo bench
check: $(DEVELOPED)
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest -n 4 --dist worksteal
	$(PYTHON) -m behave --format progress --no-capture tests/features

demo: $(DEVELOPED)
	$(PYTHON) -m lugspur demo

bench: $(DEVELOPED)
	$(PYTHON) -m lugspur bench

.venv/developed: requirements.txt requirements-mesh.txt requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	cp requirements.txt .venv/built
	touch $@
