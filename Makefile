# Both `make demo` and `make check` make a .venv of their own; PYTHON=... names another interpreter that has
# requirements-dev.txt installed.
PYTHON ?= .venv/bin/python

.PHONY: check demo bench
check: $(PYTHON)
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest

demo: $(PYTHON)
	$(PYTHON) -m lugspur demo

bench: $(PYTHON)
	$(PYTHON) -m lugspur bench

ifeq ($(PYTHON),.venv/bin/python)
.venv/bin/python: .venv/developed
.venv/developed: requirements.txt requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	cp requirements.txt .venv/built
	touch $@
endif
