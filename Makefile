# What CI runs stands in .ci/run; `make run` wants PROXY_CONFIG (README.md has an example).
.PHONY: build test lint run fuzz measure

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -race ./...

lint:
	.ci/lint

run: build
	exec bin/weirwind

fuzz:
	go test -fuzz FuzzParseStatement -fuzztime 20s ./internal/pgwire
	go test -fuzz FuzzMessages -fuzztime 20s ./internal/pgwire
	go test -fuzz FuzzParse -fuzztime 20s ./internal/discovery
	go test -fuzz FuzzRecover -fuzztime 20s ./internal/durable
	go test -fuzz FuzzLoad -fuzztime 20s ./internal/learned
	go test -fuzz FuzzParse -fuzztime 20s ./internal/operator
	go test -fuzz FuzzParseEntry -fuzztime 20s ./internal/registry
	go test -fuzz FuzzDatagram -fuzztime 20s ./internal/fleet/mesh
	go test -fuzz FuzzFrame -fuzztime 20s ./internal/fleet/mesh

# BEFORE names an earlier build, whose idle memory is measured beside this one's.
measure: build
	go test -count=1 -run TestMeasure -v ./cmd/weirwind -args -restarts 50 -binary $(CURDIR)/bin/weirwind -before "$(BEFORE)"
	go test -run TestBytesWrittenInSteadyState -v -bench . -benchtime 2s ./internal/learned
	bin/weirlab storm
	go test -run '^$$' -bench Read -benchtime 20x ./internal/registry
	go test -run '^$$' -bench Op -benchtime 20000x -count 5 ./internal/driver
