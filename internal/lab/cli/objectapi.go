package cli

import (
	"context"

	"github.com/covelink/covelink/internal/lab/objectapi"
)

// objectAPIServer makes the stand-in of the platform's store a server: its end takes no time worth a deadline.
type objectAPIServer struct {
	*objectapi.Server
}

// Stop implements server.
func (s objectAPIServer) Stop(context.Context) error {
	s.Server.Stop()
	return nil
}
