package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/openai/openai-go/v3"

	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/telemetry"
)

// Load sends one application's requests. Make it with New; Run may be called once.
type Load struct {
	config    Config
	recorder  *invariant.Recorder
	logger    log.Logger
	transport *http.Transport
	clients   []openai.Client
	random    *rand.Rand
	slots     chan struct{}
	meter     *meter
}

// New returns a load, or an error that names the unfit setting. recorder takes down what the clients see; nil means that
// nobody asks.
func New(config Config, recorder *invariant.Recorder, logger log.Logger) (*Load, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if recorder == nil {
		recorder = invariant.NewRecorder()
	}
	load := &Load{
		config:    config,
		recorder:  recorder,
		logger:    log.With(telemetry.For(logger, telemetry.PartLab), "load", config.Name),
		transport: &http.Transport{MaxIdleConnsPerHost: config.MaxInFlight, DialContext: config.Dial},
		random:    rand.New(rand.NewPCG(uint64(config.Seed), 0)),
		slots:     make(chan struct{}, config.MaxInFlight),
		meter:     newMeter(),
	}
	for _, url := range config.URLs {
		load.clients = append(load.clients, newClient(url, config.Token, load.transport))
	}
	return load, nil
}

// Run sends requests until their number or their time is up or ctx ends, waits for the answers to those in flight, and
// returns what was measured.
func (l *Load) Run(ctx context.Context) Report {
	defer l.transport.CloseIdleConnections()
	var inFlight sync.WaitGroup
	started := time.Now()
	elapsed := time.Duration(0)
	for number := 0; number < l.config.Requests; number++ {
		elapsed += l.nextGap()
		due := started.Add(elapsed)
		if elapsed > l.config.Duration || !waitUntil(ctx, due) {
			break
		}
		question := l.question(number)
		select {
		case l.slots <- struct{}{}:
			inFlight.Go(func() { l.send(number, question, due) })
		default:
			l.meter.shed()
		}
	}
	inFlight.Wait()
	return l.meter.result()
}

// nextGap draws the time between two arrivals.
func (l *Load) nextGap() time.Duration {
	return time.Duration(l.random.ExpFloat64() / l.config.RequestsPerSecond * float64(time.Second))
}

// waitUntil waits for a moment and returns false when ctx ends before it.
func waitUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// question draws a request. Its prompt is unique to it, so that its executions can be found.
func (l *Load) question(number int) question {
	key := fmt.Sprintf("%s-%d-%06d", l.config.Name, l.config.Seed, number)
	return question{
		key:           key,
		prompt:        key + strings.Repeat(" "+l.config.Name, l.config.PromptWords-1),
		seed:          l.random.Int64N(1 << 40),
		notRepeatable: l.random.Float64() < l.config.NotRepeatableShare,
	}
}

// send asks one question. A request that was sent is not given up when the load ends, only when its time is up.
func (l *Load) send(number int, question question, due time.Time) {
	defer func() { <-l.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), l.config.Timeout)
	defer cancel()
	result := ask(ctx, l.clients[number%len(l.clients)], l.config, question)
	l.meter.add(question, result, due)
	l.recorder.Called(invariant.Call{
		Request:       question.key,
		Pool:          l.config.Pool,
		Prompt:        question.prompt,
		Seed:          question.seed,
		NotRepeatable: question.notRepeatable,
		Outcome:       result.outcome,
		Text:          result.text,
		FinishReason:  result.finishReason,
		Started:       result.started,
		Ended:         result.ended,
	})
	_ = level.Debug(l.logger).Log("msg", "request ended", "request", question.key, "outcome", result.outcome)
}
