# Building, testing and running teaselrack.
GO ?= go
BIN := build/bin
TOOLS := build/tools
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
MODULES := . ./bench ./e2e ./emulator ./tools
PROOF := $(GO) run github.com/teaselrack/teaselrack/tools/proof --results build/unit.jsonl --results build/bubbles.jsonl --results build/faults.jsonl --results build/bench.jsonl --results build/e2e.jsonl
VERDICT := $(GO) run github.com/teaselrack/teaselrack/tools/verdict

.PHONY: build test one test-race test-bubbles test-faults test-bench test-tools test-e2e proof proof-check mutations demo up down bench capacity lint fmt gopls clean

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./emulator/cmd/...

# test runs every test, and checks that the page of proofs names tests that ran.
test: test-race test-bubbles test-faults test-bench test-tools test-e2e proof-check

# The race detector ends a test process now and then when several timers of one bubble of
# testing/synctest are due at once and run on several processors. Packages that use bubbles
# run with the detector on one processor, and in test-bubbles without it on all of them.
imports_bubbles = {{range .$1}}{{if eq . "testing/synctest"}}{{$$.ImportPath}} {{end}}{{end}}
BUBBLE_PACKAGES = $(sort $(shell $(GO) list -f '$(call imports_bubbles,Imports)$(call imports_bubbles,TestImports)$(call imports_bubbles,XTestImports)' ./...))
# On arm64 the detector itself ends now and then in tests that start many goroutines
# ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp"). There, and only there, the packages
# where it was seen run without it.
NO_RACE_PACKAGES = $(if $(filter aarch64 arm64,$(shell uname -m)),$(shell $(GO) list ./internal/process/control))
test-race:
	@mkdir -p build
	{ $(GO) test -race -json $(filter-out $(BUBBLE_PACKAGES),$(shell $(GO) list ./...)); \
	$(GO) test -race -json -cpu 1 $(filter-out $(NO_RACE_PACKAGES),$(BUBBLE_PACKAGES)); } | $(VERDICT) --save build/unit.jsonl

test-bubbles:
	@mkdir -p build
	$(GO) test -json $(BUBBLE_PACKAGES) | $(VERDICT) --save build/bubbles.jsonl

# one runs a single test by name, in any module: make one TEST=TestSimulation
one: build
	$(GO) test -count=1 -v -run '^$(TEST)$$' ./... ./bench/... | grep -v 'no test' | tail -50
	cd e2e && TEASELRACK_BIN=$(CURDIR)/$(BIN) $(GO) test -count=1 -v -run '^$(TEST)$$' ./... | tail -50

# test-faults injects two faults at the same time, with more seeds than the run
# with the race detector has time for.
FAULT_SEEDS ?= 240
test-faults:
	@mkdir -p build
	$(GO) test -json -run TestTwoFailuresAtOnce ./internal/process/control -pairs $(FAULT_SEEDS) | $(VERDICT) --save build/faults.jsonl

# test-bench checks the policy against its targets, in virtual time.
test-bench:
	@mkdir -p build
	cd bench && $(GO) test -json ./... | (cd .. && $(VERDICT) --save build/bench.jsonl)

# test-tools tests the programs that judge runs, that the patches of tools/variant fit, and
# the scripts and stand-ins of the demo.
test-tools:
	@mkdir -p build
	cd tools && $(GO) test -json ./... ../emulator/... | (cd .. && $(VERDICT) --save build/tools.jsonl)

# test-e2e starts real processes on free loopback ports and stops them by id.
test-e2e: build
	@mkdir -p build
	cd e2e && TEASELRACK_BIN=$(CURDIR)/$(BIN) $(GO) test -json -count=1 -timeout 20m ./... | (cd .. && $(VERDICT) --save build/e2e.jsonl)

# proof runs every test and prints the rows of docs/PROOF.md with the results.
proof: test-race test-bubbles test-faults test-bench test-e2e
	$(PROOF)

proof-check:
	$(PROOF) --quiet

# mutations takes one mechanism after the other out of a copy of the last commit, and fails
# where the test that guards it still passes. It takes some minutes.
mutations:
	$(GO) run ./tools/variant --tests --patches tools/variant/mutations

# demo runs the whole system once and leaves no process behind.
demo: build
	@emulator/demo/demo.sh

# up leaves the demo system running; see build/demo/endpoints.env.
up: build
	@emulator/demo/up.sh

# down stops what up started.
down:
	@emulator/demo/down.sh

# bench measures added latency on loopback, single operations, and the policy
# beside a naive version.
bench:
	$(GO) test ./internal/request/hop -run '^$$' -bench 'Hop$$|InProcess' -benchtime 5000x
	$(GO) test ./internal/process/admission ./internal/process/routing ./internal/request/permit -run '^$$' -bench . -benchtime 20000x -cpu 1,4,10
	$(GO) run github.com/teaselrack/teaselrack/bench/cmd/policybench

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

# gopls renames identifiers over all modules, see CONTRIBUTING.md.
gopls: $(TOOLS)/gopls

$(TOOLS)/gopls:
	GOBIN=$(CURDIR)/$(TOOLS) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

clean:
	rm -rf build
