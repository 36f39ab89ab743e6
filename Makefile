# Each target works alone on a fresh clone: it makes its own virtual environment
# from the pinned lock unless PYTHON names an interpreter that has everything.
PYTHON ?= .venv/bin/python
VENV_STAMP = .venv/installed
export PYTHONPATH := $(CURDIR)/src

ifeq ($(PYTHON),.venv/bin/python)
ENVIRONMENT = $(VENV_STAMP)
endif

.PHONY: demo test check format fuzz soak soak-crashing soak-crashing-parts soak-limits soak-cut-off soak-brittle soak-asking soak-stops soak-odd-values soak-disks soak-endless latency failover

$(VENV_STAMP): requirements.lock pyproject.toml
	python3.11 -m venv .venv
	.venv/bin/python -m pip install -q --no-deps setuptools==80.9.0
	.venv/bin/python -m pip install -q --no-deps -r requirements.lock
	.venv/bin/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $(VENV_STAMP)

check: $(ENVIRONMENT)
	$(PYTHON) -m ruff format --check src tests demo platform
	$(PYTHON) -m ruff check src tests demo platform

format: $(ENVIRONMENT)
	$(PYTHON) -m ruff format src tests demo platform
	$(PYTHON) -m ruff check --fix src tests demo platform

test: $(ENVIRONMENT)
	$(PYTHON) -m pytest

demo: $(ENVIRONMENT)
	$(PYTHON) demo/run.py

fuzz: $(ENVIRONMENT)
	QUETZALPASS_FUZZ_PROFILE=long $(PYTHON) -m pytest tests/fuzz -s

SEED ?= 1
COUNT ?= 10
SECONDS ?= 15

soak: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.soak $(SEED) $(COUNT) $(SECONDS)

soak-crashing: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.crashing $(SEED) $(COUNT) $(SECONDS)

soak-crashing-parts: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.crashing_parts $(SEED) $(COUNT) $(SECONDS)

soak-limits: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.limits $(SEED) $(COUNT) $(SECONDS)

soak-cut-off: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.cut_off $(SEED) $(COUNT) $(SECONDS)

soak-brittle: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.brittle $(SEED) $(COUNT) $(SECONDS)

soak-asking: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.asking $(SEED) $(COUNT) $(SECONDS)

soak-stops: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.stops $(SEED) $(COUNT) $(SECONDS)

soak-odd-values: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.odd_values $(SEED) $(COUNT) $(SECONDS)

soak-disks: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.disks $(SEED) $(COUNT) $(SECONDS)

soak-endless: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.endless $(SEED) $(COUNT) $(SECONDS)

latency: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.latency $(SEED) $(SECONDS)

failover: $(ENVIRONMENT)
	cd tests && PYTHONPATH=.:../src:../platform $(abspath $(PYTHON)) \
		-m soak.failover $(SEED) $(COUNT)
