package claims

import (
	"context"
	"fmt"
	"testing"

	"github.com/covelink/covelink/internal/gateway"
)

// BenchmarkClaim measures Claim and Finish with three keepers over loopback in one process.
func BenchmarkClaim(b *testing.B) {
	for name, disks := range map[string]bool{"memory": false, "disk": true} {
		for _, parallelism := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/parallelism=%d", name, parallelism), func(b *testing.B) {
				c := newCluster(b, threeZones, disks)
				if !disks {
					c.clock.advance(testRetention)
				}
				c.open()
				b.SetParallelism(parallelism)
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						claimAndFinish(b, c.members[0].manager)
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			})
		}
	}
}

func claimAndFinish(b *testing.B, manager *Manager) {
	request := requestOf("")
	request.Key = request.ID
	result, err := manager.Claim(context.Background(), request)
	if err != nil || result.State != gateway.ClaimGranted {
		b.Error("claim not granted:", err)
		return
	}
	if err := manager.Finish(context.Background(), request, completedWith("text")); err != nil {
		b.Error(err)
	}
}
