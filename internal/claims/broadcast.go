package claims

import (
	"context"
	"iter"

	"github.com/covelink/covelink/internal/cluster"
)

// answerOf is the reply or the error of one node.
type answerOf[T any] struct {
	node  cluster.Node
	value T
	err   error
}

// askAll calls every node concurrently and yields the replies as they arrive. Calls still in flight when the caller
// leaves the loop continue until ctx ends.
func askAll[T any](ctx context.Context, nodes []cluster.Node, ask func(context.Context, cluster.Node) (T, error)) iter.Seq[answerOf[T]] {
	answers := make(chan answerOf[T], len(nodes))
	for _, node := range nodes {
		go func() {
			value, err := ask(ctx, node)
			answers <- answerOf[T]{node: node, value: value, err: err}
		}()
	}
	return func(yield func(answerOf[T]) bool) {
		for range nodes {
			if !yield(<-answers) {
				return
			}
		}
	}
}
