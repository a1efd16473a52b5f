# The lock's hash and the kind of machine name the stamp, so that a changed lock or a
# folder from another kind of machine installs anew.
VENV ?= .venv
LOCK := $(shell sha256sum requirements.lock | cut -c1-16)
STAMP := $(VENV)/.installed-$(LOCK)-$(shell uname -m)
PYTHON := PYTHONPATH=src:. $(VENV)/bin/python

.PHONY: demo test format lint types features overhead cost bench slopes faults soak clean

$(STAMP):
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m standins.demo

test: lint types features

format: $(STAMP)
	$(VENV)/bin/ruff format src standins tests benchmarks
	$(VENV)/bin/ruff check --fix src standins tests benchmarks

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src standins tests benchmarks
	$(VENV)/bin/ruff check src standins tests benchmarks

types: $(STAMP)
	$(PYTHON) -m mypy src/pimentolatch standins benchmarks

features: $(STAMP)
	$(PYTHON) -m tests.run

overhead: $(STAMP)
	$(PYTHON) -m benchmarks.overhead

cost: $(STAMP)
	$(PYTHON) -m benchmarks.gateway_cost

bench: $(STAMP)
	$(PYTHON) -m benchmarks.mix

slopes: $(STAMP)
	$(PYTHON) -m benchmarks.slopes

faults: $(STAMP)
	$(PYTHON) -m tests.faults

soak: $(STAMP)
	$(PYTHON) -m tests.soak --seeds 1-50

clean:
	rm -rf build .mypy_cache .ruff_cache
