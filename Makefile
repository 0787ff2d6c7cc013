# make demo runs the main job on loopback; make test runs the tests.

GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: build demo test measure lint format check

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	$(GO) run ./examples/demo

test:
	$(GO) test -race ./...

measure:
	$(GO) test -run '^$$' -bench . -benchtime 1x ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

check:
	bash .ci/run
