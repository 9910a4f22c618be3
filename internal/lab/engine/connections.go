package engine

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection lets handlers reach the connection of their request.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

func connectionOf(request *http.Request) net.Conn {
	connection, _ := request.Context().Value(connectionKey{}).(net.Conn)
	return connection
}

// trackConnection keeps the set of open connections.
func (e *Engine) trackConnection(connection net.Conn, state http.ConnState) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch state {
	case http.StateNew:
		e.connections[connection] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.connections, connection)
	}
}

// resetConnection closes a connection so that the peer sees a reset.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
