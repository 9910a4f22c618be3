package rendezvous_test

import (
	"fmt"

	"github.com/covelink/covelink/coord/rendezvous"
)

// When a member leaves, only the keys that it held move.
func ExampleRank() {
	members := []rendezvous.Member{
		{ID: rendezvous.Hash("a"), Weight: 1},
		{ID: rendezvous.Hash("b"), Weight: 1},
		{ID: rendezvous.Hash("c"), Weight: 1},
	}
	const keys = 1000
	moved, held := 0, 0
	for key := range uint64(keys) {
		key = rendezvous.Mix(key, 1)
		before := rendezvous.Rank(key, members, nil)[0]
		after := rendezvous.Rank(key, members[:2], nil)[0]
		if before == 2 {
			held++
		}
		if before != after {
			moved++
		}
	}
	fmt.Println("only the keys of the member that left have moved:", moved == held)
	// Output:
	// only the keys of the member that left have moved: true
}
