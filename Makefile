# Runs and checks celerystage. `make demo` and `make test` are all that a newcomer needs.

CARGO ?= cargo
# Further arguments of the test runner, such as `--skip NAME`.
ARGS ?=

.PHONY: demo test lint build

build:
	$(CARGO) build --workspace --locked

demo: build
	target/debug/celery-demo

test: build
	$(CARGO) test --workspace --locked -- $(ARGS)

lint:
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets --locked -- -D warnings
