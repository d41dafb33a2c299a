# All tools are pinned here or in go.mod. The machine has to provide only Go, make and
# a POSIX shell.
LINT_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint-$(LINT_VERSION)

.PHONY: build test lint fmt demo bench soak soak-deployment generate tools

# The tag selects help texts without templates, which keep a fifth of the binary from being linked.
TAGS := urfave_cli_no_template
build:
	go build -trimpath -tags=$(TAGS) -o bin/celeryport ./cmd/celeryport

# Property tests draw from PROPERTY_SEED, so that runs of the same code have the same result;
# 0 draws a new seed.
PROPERTY_SEED ?= 1
test:
	PROPERTY_SEED=$(PROPERTY_SEED) sh .ci/test.sh

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

tools: $(LINT)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

fmt: $(LINT)
	$(LINT) fmt

demo: build
	sh ./examples/demo/run.sh

# SEEDS is a comma-separated list of random seeds for the soak test, MINUTES the
# duration of the run with each seed.
SEEDS ?= 1,2,3
MINUTES ?= 2

soak:
	SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$$(( $(MINUTES) * 60 )) go test -count=1 -timeout 0 -v -run '^TestSoak$$' ./platform/soak

# Runs the deployment of deploy/ with real processes; DEPLOYMENT=full selects its whole size,
# FAULT_SECONDS is how long faults are injected with each seed.
DEPLOYMENT ?=
FAULT_SECONDS ?= 40

soak-deployment:
	SOAK_DEPLOYMENT=$(DEPLOYMENT) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(FAULT_SECONDS) go test -count=1 -timeout 0 -v -run '^TestDeployment$$' ./platform/soak

bench: build
	bin/celeryport bench

# Regenerates the code in rpc. The generated code is committed, so this is required only
# after a change to the .proto file. It needs protoc (Debian: protobuf-compiler).
generate:
	mkdir -p $(TOOLS)
	cd tools/protogo && go build -o $(TOOLS)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	cd tools/twirp && go build -o $(TOOLS)/protoc-gen-twirp github.com/twitchtv/twirp/protoc-gen-twirp
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative rpc/control.proto
