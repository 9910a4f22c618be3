package claims

import (
	"context"
	"iter"

	"github.com/covelink/covelink/internal/cluster"
)

// nodeReply is the reply or the error of one node.
type nodeReply[T any] struct {
	node  cluster.Node
	value T
	err   error
}

// broadcast calls every node concurrently and yields the replies as they arrive. Calls still in flight when the caller
// leaves the loop continue until ctx ends.
func broadcast[T any](ctx context.Context, nodes []cluster.Node, ask func(context.Context, cluster.Node) (T, error)) iter.Seq[nodeReply[T]] {
	answers := make(chan nodeReply[T], len(nodes))
	for _, node := range nodes {
		go func() {
			value, err := ask(ctx, node)
			answers <- nodeReply[T]{node: node, value: value, err: err}
		}()
	}
	return func(yield func(nodeReply[T]) bool) {
		for range nodes {
			if !yield(<-answers) {
				return
			}
		}
	}
}
