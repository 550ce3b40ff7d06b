VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SCENARIO ?= all
SEED ?= 1
MINUTES ?= 0.5

.PHONY: all install codestyle format test demo platform-demo run bench capacity dist proto explore experiment soak clean

all: install codestyle test

install: $(VENV)/.installed

$(VENV)/.installed: requirements/runtime.txt requirements/development.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements/development.txt
	touch $@

codestyle: install
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

format: install
	$(BIN)/ruff format .

test: install
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m bench.demo

platform-demo: install
	$(BIN)/python -m bench.platform_demo

run: install
	$(BIN)/python -m bench.run

bench: install
	$(BIN)/python -m bench.main --scenario=$(SCENARIO) --seed=$(SEED)

capacity: install
	$(BIN)/python -m bench.capacity

experiment: install
	$(BIN)/python -m bench.engines

soak: install
	$(BIN)/python -m bench.soak --seeds=$(SEED) --minutes=$(MINUTES)

explore: install
	$(BIN)/python -m bench.explore --schedules=10000

dist: install
	$(BIN)/python -m bench.package

proto: install
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
		--grpc_python_out=. snipebridge/rpc/*.proto

clean:
	rm -rf build dist
