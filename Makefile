.PHONY: run test setup

VENV := .venv

setup: $(VENV)/installed

$(VENV)/installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

# Start the local example fleet: entry VMs and stand-ins for other systems.
run: setup
	VENV=$(VENV) ./examples/local/run.sh

# Run all tests; failures listed in KNOWN-RED.txt are printed and tolerated.
test: setup
	$(VENV)/bin/python -m pytest
