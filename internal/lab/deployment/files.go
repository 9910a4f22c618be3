package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/covelink/covelink/internal/settings"
)

const (
	settingsTag = "koanf"
	folderMode  = 0o755
	// fileMode keeps the tokens in the files from other users.
	fileMode = 0o600
)

// The programs that processes run.
const (
	ProgramDaemon = "covelinkd"
	ProgramLab    = "covelink-lab"
)

// Process is one process of a deployment and the file that holds its settings.
type Process struct {
	// Name is the name of the file without its folder and suffix, as in node-NAME or engine-NAME.
	Name string
	// Program is covelinkd or covelink-lab, and Arguments what it is started with.
	Program   string
	Arguments []string
	// Command is the command line without the folder of the programs, as in covelinkd run --config FILE.
	Command string
	// File is the path of the settings.
	File string
	// Ends is true for a process that ends by itself.
	Ends bool
}

// WriteFiles writes the settings of every process of the plan to a folder and returns the processes in the order in which
// they are started. Existing files of the same names are replaced.
func (p *Plan) WriteFiles(folder string) ([]Process, error) {
	w := &writer{folder: folder}
	w.lab("objectapi", "objectapi", p.ObjectAPI, false)
	w.lab("machines", "machines", p.Machines, false)
	w.lab("weightstore", "weightstore", p.WeightStore, false)
	for _, config := range p.Engines {
		w.lab("engine", "engine-"+config.Name, config, false)
	}
	for _, node := range p.Nodes {
		w.node(node)
	}
	w.lab("trainer", "trainer", p.Trainer, true)
	for _, config := range p.Loads {
		w.lab("load", "load-"+config.Name, config, true)
	}
	return w.processes, w.err
}

// writer writes files; the first error is kept.
type writer struct {
	folder    string
	processes []Process
	err       error
}

func (w *writer) lab(command, name string, config any, ends bool) {
	file := w.write(name, config)
	w.add(Process{Name: name, Program: ProgramLab, Arguments: []string{command, "--config", file}, File: file, Ends: ends})
}

func (w *writer) node(node settings.Settings) {
	if node.Node.DataDir != "" && w.err == nil {
		w.err = os.MkdirAll(node.Node.DataDir, folderMode)
	}
	name := "node-" + node.Node.Name
	file := w.write(name, nodeValues(node))
	w.add(Process{Name: name, Program: ProgramDaemon, Arguments: []string{"run", "--config", file}, File: file})
}

func (w *writer) add(process Process) {
	process.Command = process.Program + " " + strings.Join(process.Arguments, " ")
	w.processes = append(w.processes, process)
}

// write writes one file and returns its path.
func (w *writer) write(name string, config any) string {
	file := filepath.Join(w.folder, name+".yaml")
	if w.err != nil {
		return file
	}
	content, err := yaml.Marshal(config)
	if err != nil {
		w.err = fmt.Errorf("%s: %w", file, err)
		return file
	}
	if w.err = os.MkdirAll(w.folder, folderMode); w.err == nil {
		w.err = os.WriteFile(file, content, fileMode)
	}
	return file
}

// nodeValues returns the settings of a node that differ from the defaults, by their keys.
func nodeValues(node settings.Settings) map[string]any {
	return withoutDefaults(keyed(reflect.ValueOf(node)), keyed(reflect.ValueOf(settings.Default())))
}

// keyed returns the fields of a struct by their keys.
func keyed(value reflect.Value) map[string]any {
	values := map[string]any{}
	for i := range value.NumField() {
		key := value.Type().Field(i).Tag.Get(settingsTag)
		values[key] = plain(value.Field(i))
	}
	return values
}

// plain returns a value with every struct in it replaced by a map.
func plain(value reflect.Value) any {
	switch value.Kind() {
	case reflect.Struct:
		return keyed(value)
	case reflect.Slice:
		items := make([]any, 0, value.Len())
		for i := range value.Len() {
			items = append(items, plain(value.Index(i)))
		}
		return items
	default:
		return value.Interface()
	}
}

// withoutDefaults returns the values that differ from the defaults, at every depth.
func withoutDefaults(values, defaults map[string]any) map[string]any {
	kept := map[string]any{}
	for key, value := range values {
		inner, isMap := value.(map[string]any)
		innerDefaults, _ := defaults[key].(map[string]any)
		if isMap {
			if rest := withoutDefaults(inner, innerDefaults); len(rest) > 0 {
				kept[key] = rest
			}
			continue
		}
		if !reflect.DeepEqual(value, defaults[key]) {
			kept[key] = value
		}
	}
	return kept
}
