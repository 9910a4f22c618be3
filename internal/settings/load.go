package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/goccy/go-yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/env/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

const (
	keyDelimiter      = "."
	environmentPrefix = "COVELINKD_"
)

// Error reports settings that cannot be used. Its text is one line.
type Error struct {
	// File is the settings file, if the fault lies there.
	File string
	// Line is the line in the file, 0 when unknown.
	Line int
	// Field is the path of the offending field, as in cluster.seeds[0].address; empty when unknown.
	Field   string
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	var parts []string
	if e.File != "" && e.Line > 0 {
		parts = append(parts, fmt.Sprintf("%s:%d", e.File, e.Line))
	} else if e.File != "" {
		parts = append(parts, e.File)
	}
	if e.Field != "" {
		parts = append(parts, e.Field)
	}
	parts = append(parts, e.Message)
	return strings.Join(parts, ": ")
}

// BadInput marks the error as one of the input.
func (e *Error) BadInput() {}

// Load reads and checks settings: defaults, then the YAML file (if file is not empty), then the environment, then overrides,
// which maps key paths such as node.name to values, as flags give them. Every error is an *Error.
func Load(file string, environment []string, overrides map[string]any) (Settings, error) {
	return load(Default(), file, environment, overrides)
}

// checked are settings that can tell their first fault.
type checked interface{ Check() error }

func load[T checked](defaults T, file string, environment []string, overrides map[string]any) (T, error) {
	var none T
	keys := koanf.New(keyDelimiter)
	if file != "" {
		if err := loadFile(keys, file); err != nil {
			return none, err
		}
	}
	if err := keys.Load(environmentProvider(environment, knownKeys[T]()), nil); err != nil {
		return none, &Error{Message: "environment: " + oneLine(err)}
	}
	if err := keys.Load(confmap.Provider(overrides, keyDelimiter), nil); err != nil {
		return none, &Error{Message: "flags: " + oneLine(err)}
	}
	loaded, err := decode(keys, defaults)
	if err == nil {
		err = loaded.Check()
	}
	if err != nil {
		return none, inFile(err, file)
	}
	return loaded, nil
}

func loadFile(keys *koanf.Koanf, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return &Error{Message: oneLine(err)}
	}
	err = keys.Load(rawbytes.Provider(content), yamlParser{})
	if err == nil {
		return nil
	}
	failure := &Error{File: file, Message: oneLine(err)}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		failure.Message = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil && token.Position != nil {
			failure.Line = token.Position.Line
		}
	}
	return failure
}

// environmentProvider maps COVELINKD_NODE_NAME to node.name. Environment names carry no case, so they are matched
// with the known keys without regard to it; names that match no key are errors, as in the file.
func environmentProvider(environment []string, known map[string]string) *env.Env {
	return env.Provider(keyDelimiter, env.Opt{
		Prefix: environmentPrefix,
		TransformFunc: func(name, value string) (string, any) {
			path := strings.ToLower(strings.TrimPrefix(name, environmentPrefix))
			path = strings.ReplaceAll(path, "_", keyDelimiter)
			if exact, ok := known[path]; ok {
				path = exact
			}
			return path, value
		},
		EnvironFunc: func() []string { return environment },
	})
}

func decode[T checked](keys *koanf.Koanf, loaded T) (T, error) {
	var none T
	var metadata mapstructure.Metadata
	err := keys.UnmarshalWithConf("", &loaded, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		Result:           &loaded,
		Metadata:         &metadata,
		WeaklyTypedInput: true,
		TagName:          "koanf",
		DecodeHook:       mapstructure.StringToTimeDurationHookFunc(),
	}})
	if err != nil {
		return none, decodeError(err)
	}
	if len(metadata.Unused) > 0 {
		slices.Sort(metadata.Unused)
		return none, &Error{Field: metadata.Unused[0], Message: "unknown key"}
	}
	return loaded, nil
}

// decodeError names the field of a value of the wrong type.
func decodeError(err error) *Error {
	var typed *mapstructure.DecodeError
	if errors.As(err, &typed) {
		return &Error{Field: typed.Name(), Message: oneLine(typed.Unwrap())}
	}
	return &Error{Message: oneLine(err)}
}

// inFile adds the file to an error about a field.
func inFile(err error, file string) error {
	var typed *Error
	if errors.As(err, &typed) && typed.File == "" {
		typed.File = file
	}
	return err
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// yamlParser makes goccy/go-yaml a parser of koanf.
type yamlParser struct{}

// Unmarshal implements koanf.Parser.
func (yamlParser) Unmarshal(content []byte) (map[string]any, error) {
	values := make(map[string]any)
	err := yaml.Unmarshal(content, &values)
	return values, err
}

// Marshal implements koanf.Parser.
func (yamlParser) Marshal(values map[string]any) ([]byte, error) {
	return yaml.Marshal(values)
}
