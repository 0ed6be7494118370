# Both targets start from nothing but Python and a package registry.
VENV ?= .venv-dev

.PHONY: demo test

demo: $(VENV)/ready
	$(VENV)/bin/python -m pathturn demo

test: $(VENV)/ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/python -m pytest

$(VENV)/ready: requirements.txt requirements-tools.txt requirements-dev.txt
	python3 -m venv --clear $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $@
