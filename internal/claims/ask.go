package claims

import (
	"context"
	"iter"

	"github.com/covelink/covelink/internal/cluster"
)

// answerOf is one node's answer.
type answerOf[T any] struct {
	node  cluster.Node
	value T
	err   error
}

// askAll asks every node at once and yields the answers as they come. The asking goes on after the loop has ended, as
// long as ctx allows.
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
