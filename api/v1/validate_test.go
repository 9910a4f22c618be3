package v1

import (
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func validPool() *Pool {
	return &Pool{Metadata: ObjectMeta{Name: "summ-lm"}, Spec: PoolSpec{Model: "summ-lm", PermittedZones: []string{"bne-stl"}}}
}

func validTrainer() *Trainer {
	spec := TrainerSpec{Pool: "summ-lm", StalenessBound: 2, TokenHashes: []string{HashToken("t")}}
	return &Trainer{Metadata: ObjectMeta{Name: "moreton"}, Spec: spec}
}

func validApplication() *Application {
	spec := ApplicationSpec{Pools: []string{"summ-lm"}, TokenHashes: []string{HashToken("a")}}
	return &Application{Metadata: ObjectMeta{Name: "meeting-room"}, Spec: spec}
}

func validZone() *Zone {
	return &Zone{Metadata: ObjectMeta{Name: "bne-stl"}, Spec: ZoneSpec{Region: "bne"}}
}

func edited[T Object](object T, edit func(T)) Object {
	edit(object)
	return object
}

func pool(edit func(*Pool)) Object               { return edited(validPool(), edit) }
func trainer(edit func(*Trainer)) Object         { return edited(validTrainer(), edit) }
func application(edit func(*Application)) Object { return edited(validApplication(), edit) }
func zone(edit func(*Zone)) Object               { return edited(validZone(), edit) }

func TestValidate(t *testing.T) {
	long := strings.Repeat("a", 64)
	Convey("Valid resources have no faults after Default", t, func() {
		for _, object := range []Object{validZone(), validPool(), validTrainer(), validApplication()} {
			Default(object)
			So(Validate(object).Err(), ShouldBeNil)
		}
		So(Validate(withDefaults(pool(func(p *Pool) { p.Spec.MaxConcurrent = 1 }))).Err(), ShouldBeNil)
		So(Validate(withDefaults(pool(func(p *Pool) { p.Spec.DrainingEngines = []string{"a.b-1"} }))).Err(), ShouldBeNil)
		So(Validate(withDefaults(trainer(func(t *Trainer) { t.Spec.Scorer = "https://scorer:8443/base" }))).Err(), ShouldBeNil)
	})

	Convey("Each rule names its field", t, func() {
		for _, test := range []struct {
			object Object
			path   string
		}{
			{zone(func(z *Zone) { z.Metadata.Name = "" }), "metadata.name"},
			{zone(func(z *Zone) { z.Metadata.Name = "Bne" }), "metadata.name"},
			{zone(func(z *Zone) { z.Metadata.Name = "bne." }), "metadata.name"},
			{zone(func(z *Zone) { z.Metadata.Name = "-bne" }), "metadata.name"},
			{zone(func(z *Zone) { z.Metadata.Name = "bne\n" }), "metadata.name"},
			{zone(func(z *Zone) { z.Metadata.Name = long }), "metadata.name"},
			{zone(func(z *Zone) { z.Metadata.ResourceVersion = "-1" }), "metadata.resourceVersion"},
			{zone(func(z *Zone) { z.Metadata.Generation = -1 }), "metadata.generation"},
			{zone(func(z *Zone) { z.Metadata.Labels = map[string]string{"a b": "c"} }), "metadata.labels"},
			{zone(func(z *Zone) { z.Metadata.Labels = map[string]string{"a": "b c"} }), "metadata.labels[a]"},
			{zone(func(z *Zone) { z.Spec.Region = "" }), "spec.region"},
			{pool(func(p *Pool) { p.Spec.Model = "" }), "spec.model"},
			{pool(func(p *Pool) { p.Spec.Model = "a b" }), "spec.model"},
			{pool(func(p *Pool) { p.Spec.Model = "a\x00" }), "spec.model"},
			{pool(func(p *Pool) { p.Spec.PermittedZones = nil }), "spec.permittedZones"},
			{pool(func(p *Pool) { p.Spec.PermittedZones = []string{"a", "b", "a"} }), "spec.permittedZones[2]"},
			{pool(func(p *Pool) { p.Spec.PermittedZones = []string{"a", "B"} }), "spec.permittedZones[1]"},
			{pool(func(p *Pool) { p.Spec.DrainingEngines = []string{"a..b"} }), "spec.drainingEngines[0]"},
			{pool(func(p *Pool) { p.Spec.DrainingEngines = []string{strings.Repeat("a", 254)} }), "spec.drainingEngines[0]"},
			{pool(func(p *Pool) { p.Spec.DrainingEngines = []string{"a", "a"} }), "spec.drainingEngines[1]"},
			{pool(func(p *Pool) { p.Spec.MaxTokens = -1 }), "spec.maxTokens"},
			{pool(func(p *Pool) { p.Spec.MaxTokens = MaxTokensLimit + 1 }), "spec.maxTokens"},
			{pool(func(p *Pool) { p.Spec.MaxConcurrent = -1 }), "spec.maxConcurrent"},
			{pool(func(p *Pool) { p.Spec.MaxConcurrent = math.MaxInt }), "spec.maxConcurrent"},
			{pool(func(p *Pool) { p.Spec.InteractiveReserve = -1 }), "spec.interactiveReserve"},
			{pool(func(p *Pool) { p.Spec.InteractiveReserve = 16 }), "spec.interactiveReserve"},
			{trainer(func(t *Trainer) { t.Spec.Pool = "" }), "spec.pool"},
			{trainer(func(t *Trainer) { t.Spec.StalenessBound = -1 }), "spec.stalenessBound"},
			{trainer(func(t *Trainer) { t.Spec.StalenessBound = math.MaxInt64 }), "spec.stalenessBound"},
			{trainer(func(t *Trainer) { t.Spec.MaxInFlight = -1 }), "spec.maxInFlight"},
			{trainer(func(t *Trainer) { t.Spec.Weight = -1 }), "spec.weight"},
			{trainer(func(t *Trainer) { t.Spec.Weight = MaxWeight + 1 }), "spec.weight"},
			{trainer(func(t *Trainer) { t.Spec.Scorer = "ftp://a" }), "spec.scorer"},
			{trainer(func(t *Trainer) { t.Spec.Scorer = "http://" }), "spec.scorer"},
			{trainer(func(t *Trainer) { t.Spec.Scorer = "http://u:p@a" }), "spec.scorer"},
			{trainer(func(t *Trainer) { t.Spec.TokenHashes = nil }), "spec.tokenHashes"},
			{trainer(func(t *Trainer) { t.Spec.TokenHashes = []string{"secret"} }), "spec.tokenHashes[0]"},
			{application(func(a *Application) { a.Spec.Pools = nil }), "spec.pools"},
			{application(func(a *Application) { a.Spec.RequestsPerSecond = math.NaN() }), "spec.requestsPerSecond"},
			{application(func(a *Application) { a.Spec.RequestsPerSecond = math.Inf(1) }), "spec.requestsPerSecond"},
			{application(func(a *Application) { a.Spec.RequestsPerSecond = -1 }), "spec.requestsPerSecond"},
			{application(func(a *Application) { a.Spec.Burst = -1 }), "spec.burst"},
			{application(func(a *Application) { a.Spec.MaxInFlight = -1 }), "spec.maxInFlight"},
			{application(func(a *Application) { a.Spec.TimeoutMillis = -1 }), "spec.timeoutMillis"},
			{application(func(a *Application) { a.Spec.TimeoutMillis = MaxTimeoutMillis + 1 }), "spec.timeoutMillis"},
			{application(func(a *Application) { a.Spec.TokenHashes = []string{strings.ToUpper(HashToken("a"))} }), "spec.tokenHashes[0]"},
		} {
			faults := Validate(withDefaults(test.object))
			So(faults, ShouldHaveLength, 1)
			So(faults[0].Path, ShouldEqual, test.path)
			So(faults.Error(), ShouldNotContainSubstring, "\n")
			So(faults.Error(), ShouldNotContainSubstring, "secret")
		}
	})

	Convey("References must exist", t, func() {
		exists := func(kind Kind, name string) bool { return kind == KindZone && name == "bne-stl" }
		So(ValidateAgainst(validPool(), exists), ShouldBeEmpty)
		So(ValidateAgainst(validZone(), exists), ShouldBeEmpty)
		faults := ValidateAgainst(pool(func(p *Pool) { p.Spec.PermittedZones = []string{"bne-stl", "bne-kgr"} }), exists)
		So(faults.Error(), ShouldEqual, `spec.permittedZones[1]: zone "bne-kgr" does not exist`)
		So(ValidateAgainst(validTrainer(), exists).Error(), ShouldEqual, `spec.pool: pool "summ-lm" does not exist`)
		So(ValidateAgainst(validApplication(), exists).Error(), ShouldEqual, `spec.pools[0]: pool "summ-lm" does not exist`)
	})

	Convey("Default is idempotent and keeps what is set", t, func() {
		object := pool(func(p *Pool) { p.Spec.MaxConcurrent = 2 })
		Default(object)
		first := object.(*Pool).Spec
		Default(object)
		So(object.(*Pool).Spec, ShouldResemble, first)
		So(first.MaxConcurrent, ShouldEqual, 2)
		So(first.InteractiveReserve, ShouldEqual, 1)
		So(first.MaxTokens, ShouldEqual, DefaultMaxTokens)
	})
}

func withDefaults(object Object) Object {
	Default(object)
	return object
}

func TestHTTPStatus(t *testing.T) {
	Convey("Every code has its status", t, func() {
		want := map[ErrorCode]int{
			CodeInvalid: 400, CodeUnauthenticated: 401, CodeForbidden: 403, CodeNotFound: 404, CodeConflict: 409,
			CodeGone: 410, CodeTooLarge: 413, CodeRateLimited: 429, CodeOverloaded: 503, CodeUnavailable: 503,
			CodeDeadlineExceeded: 504, CodeInternal: 500, "other": 500,
		}
		for code, status := range want {
			So(Errorf(code, "x").HTTPStatus(), ShouldEqual, status)
		}
	})
}
