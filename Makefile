# What CI runs stands in .ci/run; `make run` wants PROXY_CONFIG (README.md has an example).
.PHONY: build test lint run fuzz

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

run: build
	exec bin/weirwind

fuzz:
	go test -fuzz FuzzParseStatement -fuzztime 20s ./internal/pgwire
	go test -fuzz FuzzMessages -fuzztime 20s ./internal/pgwire
	go test -fuzz FuzzParse -fuzztime 20s ./internal/discovery
