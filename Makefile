# Build, test, lint and run. The operators' own commands stand in deploy/balancer.toml.
CONFIG ?= config.json
DEV = .venv-dev/bin

.PHONY: build dev test lint run

build:
	(test -x .venv/bin/python || python3 -m venv .venv) && .venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q vanerelay

dev:
	test -x $(DEV)/python || python3 -m venv .venv-dev
	$(DEV)/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-xds.txt -r requirements-lab.txt -r requirements-dev.txt

# The tests that start no process on several workers, then the others in one. Those of the memory limit start the
# program from the environment of `build`, as the tests' own libraries add several MB to it.
test: lint build
	$(DEV)/python -m pytest -q -n auto -m "not processes"
	$(DEV)/python -m pytest -q -m processes

lint: dev
	$(DEV)/ruff format --check -q vanerelay tests bench
	$(DEV)/ruff check vanerelay tests bench
	$(DEV)/mypy

run: build
	LB_CONFIG=$(CONFIG) exec .venv/bin/python -m vanerelay serve
