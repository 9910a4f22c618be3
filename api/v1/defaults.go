package v1

// The defaults of fields that a resource leaves at zero.
const (
	DefaultMaxTokens          = 4096
	DefaultMaxConcurrent      = 16
	DefaultInteractiveReserve = 2
	DefaultTrainerMaxInFlight = 1024
	DefaultTrainerWeight      = 1
	DefaultRequestsPerSecond  = 100
	DefaultBurst              = 200
	DefaultAppMaxInFlight     = 256
	DefaultTimeoutMillis      = 30000
)

// Default fills the type metadata and every field that is at zero and has a default. It is idempotent.
func Default(object Object) {
	SetTypeMeta(object)
	switch typed := object.(type) {
	case *Pool:
		defaultPool(&typed.Spec)
	case *Trainer:
		setIfZero(&typed.Spec.MaxInFlight, DefaultTrainerMaxInFlight)
		setIfZero(&typed.Spec.Weight, DefaultTrainerWeight)
	case *Application:
		defaultApplication(&typed.Spec)
	}
}

func defaultPool(spec *PoolSpec) {
	setIfZero(&spec.MaxTokens, DefaultMaxTokens)
	setIfZero(&spec.MaxConcurrent, DefaultMaxConcurrent)
	// The reserve must leave rollouts one slot, so a small engine gets a smaller default.
	reserve := min(DefaultInteractiveReserve, max(spec.MaxConcurrent-1, 0))
	setIfZero(&spec.InteractiveReserve, reserve)
}

func defaultApplication(spec *ApplicationSpec) {
	setIfZero(&spec.RequestsPerSecond, DefaultRequestsPerSecond)
	setIfZero(&spec.Burst, DefaultBurst)
	setIfZero(&spec.MaxInFlight, DefaultAppMaxInFlight)
	setIfZero(&spec.TimeoutMillis, DefaultTimeoutMillis)
}

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
