.PHONY: build test race lint fmt demo measure bench soak rename-tool ci

build:
	go build -o bin/tamarackswitch ./cmd/tamarackswitch

test:
	bash .ci/test

race:
	go test -race -short ./pkg/...

lint:
	go vet ./...
	go tool staticcheck ./...

fmt:
	gofmt -w .

demo:
	go run ./cmd/tamarackswitch demo

measure:
	go run ./cmd/tamarackswitch measure > docs/measurements.md

bench:
	go test -run '^$$' -bench . -benchmem ./...

soak:
	SOAK_SEEDS=1-50 SOAK_SECONDS=6 go test -count=1 ./test/soak -run TestSoak -v

rename-tool:
	cd tools && go build -o ../bin/gopls golang.org/x/tools/gopls

ci:
	bash .ci/run
