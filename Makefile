.PHONY: build test race lint format demo ci clean

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

lint:
	go vet ./...
	go tool staticcheck ./...

format:
	gofmt -w $$(git ls-files '*.go')

demo:
	go run ./cmd/covelink-lab demo --example moreton
	go run ./cmd/covelink-lab demo --example cairnpath

ci:
	.ci/run

clean:
	rm -rf bin out
