# Building, testing and running teaselrack.
GO ?= go
BIN := build/bin
TOOLS := build/tools
LINT_VERSION := v2.15.0
MODULES := . ./bench ./e2e
VERDICT := $(GO) run github.com/teaselrack/teaselrack/e2e/cmd/verdict

.PHONY: build test test-race test-e2e demo up down capacity lint fmt clean

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./e2e/cmd/...

test: test-race test-e2e

test-race:
	@mkdir -p build
	$(GO) test -race -json ./... | $(VERDICT) --save build/unit.jsonl

# test-e2e starts real processes on free loopback ports and stops them by id.
test-e2e: build
	@mkdir -p build
	cd e2e && TEASELRACK_BIN=$(CURDIR)/$(BIN) $(GO) test -json -count=1 ./... | (cd .. && $(VERDICT) --save build/e2e.jsonl)

# demo runs the whole system once and leaves no process behind.
demo: build
	@e2e/demo/demo.sh

# up leaves the demo system running; see build/demo/endpoints.env.
up: build
	@e2e/demo/up.sh

# down stops what up started.
down:
	@e2e/demo/down.sh

# capacity measures how each role grows, for docs/CAPACITY.md.
capacity:
	$(GO) run github.com/teaselrack/teaselrack/bench/cmd/capacity

fmt:
	@bad="$$(gofmt -l $$(git ls-files '*.go'))"; if [ -n "$$bad" ]; then echo "not formatted:"; echo "$$bad"; exit 1; fi

$(TOOLS)/golangci-lint:
	GOBIN=$(CURDIR)/$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(TOOLS)/golangci-lint
	@set -e; for module in $(MODULES); do \
		(cd $$module && $(GO) vet ./... && $(CURDIR)/$(TOOLS)/golangci-lint run ./...); \
	done

clean:
	rm -rf build
