# The one door to build, test and measure. Every target works on a fresh clone.

MODULES := ./core/... ./declaration/... ./mulberryctl/... ./mulberrydale/... ./runner/... ./standin/...
SEED ?= 1
SCENARIO ?=

.PHONY: build test lint unit demo up bench slopes fuzz clean

build:
	@mkdir -p build
	go build -o build/ ./mulberrydale ./mulberryctl ./standin ./runner ./declaration/examples/...
	./build/jakelutupa > build/jakelutupa.json
	./build/abap > build/abap.json

# Formatter, vet, staticcheck and the unit tests with the race detector.
test: lint unit

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

unit:
	go test -race -timeout 5m $(MODULES)

# The main job from end to end: all of Jakelutupa's leafs, three entry VMs.
demo: build
	./build/runner demo build/jakelutupa.json

# Three entry VMs and all leafs, kept until interrupted.
up: build
	./build/runner up build/jakelutupa.json

# The slopes of docs/CAPACITY.md.
slopes:
	go test -run '^$$' -bench . -benchtime 300ms ./core/...

# Each codec and parser, for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./core/version/configuration
	go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME) ./core/connection/frame
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./core/connection/peer
	go test -run '^$$' -fuzz FuzzDecodeChange -fuzztime $(FUZZTIME) ./core/connection/operator
	go test -run '^$$' -fuzz FuzzDecodeEnvelope -fuzztime $(FUZZTIME) ./core/process/replica
	go test -run '^$$' -fuzz FuzzDecodeRecord -fuzztime $(FUZZTIME) ./core/process/replica
	go test -run '^$$' -fuzz FuzzDecodeState -fuzztime $(FUZZTIME) ./core/process/replica
	go test -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZTIME) ./core/process/journal
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./core/request/query
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./mulberrydale/settings

# Scenarios with bounds; SCENARIO picks one, SEED the draws.
bench: build
	./build/runner bench --seed $(SEED) $(if $(SCENARIO),--scenario $(SCENARIO)) build/jakelutupa.json build/abap.json

clean:
	rm -rf build
