package sim

import (
	"github.com/covelink/covelink/internal/lab/configfile"
	"github.com/covelink/covelink/internal/settings"
)

// Load reads a scenario from a YAML file. Every error is a *settings.Error.
func Load(file string) (Scenario, error) {
	scenario := DefaultScenario()
	if err := configfile.Load(file, &scenario); err != nil {
		return Scenario{}, err
	}
	scenario = scenario.withDefaults()
	if err := scenario.Validate(); err != nil {
		return Scenario{}, &settings.Error{File: file, Message: err.Error()}
	}
	return scenario, nil
}
