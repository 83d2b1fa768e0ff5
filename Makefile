# `make test` passes the tests, `make demo` shows the product at work.
# Each does all the set-up it needs on a fresh machine.
.PHONY: all setup build test demo regress

all: build

setup:
	@scripts/install_packages

build: setup
	@scripts/build

test: build
	@scripts/run_tests

demo: build
	@scripts/demo

# Scores the deployments that must not fall; see DEVELOPING.md.
regress:
	@scripts/regress
