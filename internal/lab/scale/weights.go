package scale

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/client"
	"github.com/covelink/covelink/internal/lab/engine"
)

// swapPoll is the time between two looks at all engines during a change of weights.
const swapPoll = 10 * time.Millisecond

// Swap is one change of weights, of all pools at the same time.
type Swap struct {
	// Failed is the number of engines whose activation failed partway once.
	Failed int `json:"failed"`
	// FirstActive and AllActive are the times from the publication until one engine and all engines serve the new
	// weights, preparation included.
	FirstActiveSeconds float64 `json:"firstActiveSeconds"`
	AllActiveSeconds   float64 `json:"allActiveSeconds"`
	// PreparedSeconds is the time until every engine holds the new weights, and ActivationSeconds from then until all serve
	// them.
	PreparedSeconds   float64 `json:"preparedSeconds"`
	ActivationSeconds float64 `json:"activationSeconds"`
}

// swap publishes a version for every pool and follows it on the engines. A share of them fails to activate once.
func (w *world) swap(ctx context.Context, version int64, share float64) (*Swap, error) {
	result := &Swap{}
	every := 0
	if share > 0 {
		every = int(1 / share)
	}
	for i, target := range w.engines {
		if every == 0 || i%every != 0 {
			continue
		}
		if err := target.Inject(engine.Fault{Kind: engine.FaultFailActivate}); err != nil {
			return nil, err
		}
		result.Failed++
	}
	started := time.Now()
	if err := w.publish(ctx, version); err != nil {
		return nil, err
	}
	return result, w.follow(ctx, version, started, result)
}

// publish stores the weights of every pool and states their version as the trainers do.
func (w *world) publish(ctx context.Context, version int64) error {
	var publishing errgroup.Group
	for trainer := range w.config.pools() {
		publishing.Go(func() error {
			weights := make([]byte, weightBytes)
			copy(weights, fmt.Sprintf("%s %d", trainerName(trainer), version))
			sum := sha256.Sum256(weights)
			stated := v1.WeightVersion{
				Version: version, Digest: hex.EncodeToString(sum[:]), Location: fmt.Sprintf("%s/%d", trainerName(trainer), version),
			}
			if err := w.weights.Put(stated.Location, weights); err != nil {
				return err
			}
			service, err := client.New(client.Options{BaseURLs: w.poolURLs(trainer), Token: trainerToken(trainer), HTTPClient: w.http})
			if err != nil {
				return err
			}
			return w.state(ctx, service, trainerName(trainer), stated)
		})
	}
	return publishing.Wait()
}

// state states a version until that succeeds, as a trainer does.
func (w *world) state(ctx context.Context, service *client.Client, trainer string, version v1.WeightVersion) error {
	var last error
	err := await(ctx, "version not stated", func() bool {
		last = service.PutVersion(ctx, trainer, version)
		return last == nil
	})
	return errors.Join(err, last)
}

// poolURLs returns the nodes of a pool's zones, by which alone its data may pass.
func (w *world) poolURLs(pool int) []string {
	permitted := make(map[string]bool)
	for _, zone := range w.config.poolZones(pool) {
		permitted[zoneName(zone)] = true
	}
	var urls []string
	for i, config := range w.plan.Nodes {
		if permitted[config.Node.Zone] {
			urls = append(urls, w.plan.NodeURLs()[i])
		}
	}
	return urls
}

func (w *world) follow(ctx context.Context, version int64, started time.Time, result *Swap) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ticker := time.NewTicker(swapPoll)
	defer ticker.Stop()
	for {
		active, prepared := w.holding(version)
		elapsed := time.Since(started).Seconds()
		if active > 0 && result.FirstActiveSeconds == 0 {
			result.FirstActiveSeconds = elapsed
		}
		if prepared == len(w.engines) && result.PreparedSeconds == 0 {
			result.PreparedSeconds = elapsed
		}
		if active == len(w.engines) {
			result.AllActiveSeconds = elapsed
			result.ActivationSeconds = elapsed - result.PreparedSeconds
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("scale: version %d is active on %d of %d engines: %w", version, active, len(w.engines), ctx.Err())
		}
	}
}

// holding counts the engines that serve a version, and those that serve it or hold it prepared.
func (w *world) holding(version int64) (active, prepared int) {
	for _, current := range w.engines {
		load := current.Load()
		if load.ActiveVersion == version {
			active++
			prepared++
			continue
		}
		for _, held := range load.PreparedVersions {
			if held == version {
				prepared++
			}
		}
	}
	return active, prepared
}
