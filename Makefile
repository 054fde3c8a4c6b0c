# Building, testing and running teaselrack.
GO ?= go
BIN := build/bin
TOOLS := build/tools
LINT_VERSION := v2.15.0
MODULES := . ./e2e

.PHONY: build test test-unit test-race lint fmt ci clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: test-race

test-race:
	$(GO) test -race ./...

fmt:
	@bad="$$(gofmt -l $$(git ls-files '*.go'))"; if [ -n "$$bad" ]; then echo "not formatted:"; echo "$$bad"; exit 1; fi

$(TOOLS)/golangci-lint:
	GOBIN=$(CURDIR)/$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(TOOLS)/golangci-lint
	$(GO) vet ./...
	$(TOOLS)/golangci-lint run ./...

clean:
	rm -rf build
