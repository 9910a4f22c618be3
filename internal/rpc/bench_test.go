package rpc

import (
	"context"
	"net"
	"testing"

	"github.com/go-kit/log"
)

func BenchmarkCall(b *testing.B) {
	server := NewServer(log.NewNopLogger())
	Handle(server, echo)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(listener)
	client := NewClient(Peer{Name: "caller"}, nil)
	defer server.Close()
	defer listener.Close()
	defer client.Close()
	address := listener.Addr().String()
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			_, err := Call[echoRequest, echoResponse](context.Background(), client, address, echoRequest{Text: "hello"})
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
}
