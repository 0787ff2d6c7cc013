# make demo runs the main job on loopback; make test runs the tests; make soak
# SEEDS=1-50 runs the programs under random faults.

GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: build demo test soak measure lint format check

SEEDS ?= 1-50

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	$(GO) run ./examples/demo

# The tests of hostile clients measure the memory of real processes and run apart from the
# others, also after one of those has failed.
HOSTILE = ./platform/hostile

test:
	status=0; \
	$(GO) test -race $$($(GO) list ./... | grep -v /platform/hostile) || status=1; \
	$(GO) test -race -count 1 $(HOSTILE) || status=1; \
	exit $$status

soak:
	$(GO) test ./platform/soak -count 1 -timeout 30m -parallel 4 -soak.seeds $(SEEDS) -soak.stops $(SEEDS) -soak.added $(SEEDS)

measure:
	$(GO) test -run '^$$' -bench . -benchtime 1x ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

check:
	bash .ci/run
