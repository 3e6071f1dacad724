# Targets for people; CI runs .ci/run.

.PHONY: build test lint generate demo bench

build:
	go build -o bin/hornbeammast .

test:
	go test ./...

lint:
	.ci/lint

# generate makes the wire types again. It needs protoc on the PATH.
generate:
	GOBIN=$(CURDIR)/bin go -C tools install tool
	cd internal/protocol/wire && PATH="$(CURDIR)/bin:$$PATH" protoc \
		--go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. *.proto

demo:
	go run . demo

bench:
	go test -run '^$$' -bench . ./...

# capacity measures one daemon's control plane and prints it against its limits.
.PHONY: capacity
capacity:
	go test -run '^$$' -bench Daemon -benchtime 1x ./internal/processtest | awk -f docs/capacity.awk
