# Runs and checks celerystage. `make demo` and `make test` are all that a newcomer needs.

CARGO ?= cargo

.PHONY: demo test lint build

build:
	$(CARGO) build --workspace --locked

demo: build
	target/debug/celery-demo

# All tests but those that KNOWN-RED.txt names.
test: build
	CARGO="$(CARGO)" .ci/test

lint:
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets --locked -- -D warnings
