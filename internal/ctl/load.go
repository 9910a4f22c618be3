package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
)

const (
	stdinName = "-"
	// maxFileBytes bounds one file of resources.
	maxFileBytes = 16 << 20
)

// item is one resource of a file.
type item struct {
	object   v1.Object
	file     string
	document v1.Document
}

// id names the resource as kind/name.
func (i item) id() string { return objectID(i.object) }

func objectID(object v1.Object) string {
	return strings.ToLower(string(object.ObjectKind())) + "/" + object.Meta().Name
}

// fault returns the error for the first of the faults of the item.
func (i item) fault(faults v1.FieldErrors) error {
	more := ""
	if len(faults) > 1 {
		more = fmt.Sprintf(" (and %d more)", len(faults)-1)
	}
	return commandline.UsageErrorf("%s: line %d: %s: %s%s", i.file, i.document.LineOf(faults[0].Path), i.id(), faults[0], more)
}

// loadItems reads the resources of files and folders, sets defaults and checks each by itself.
// They are returned in the order in which they can be written.
func loadItems(paths []string, stdin io.Reader) ([]item, error) {
	files, err := expandPaths(paths)
	if err != nil {
		return nil, err
	}
	var items []item
	for _, file := range files {
		found, err := loadFile(file, stdin)
		if err != nil {
			return nil, err
		}
		items = append(items, found...)
	}
	if len(items) == 0 {
		return nil, commandline.UsageErrorf("%s: no resources", strings.Join(paths, ", "))
	}
	if err := checkRepeats(items); err != nil {
		return nil, err
	}
	slices.SortStableFunc(items, func(a, b item) int { return kindOrder(a) - kindOrder(b) })
	return items, nil
}

func kindOrder(i item) int { return slices.Index(v1.Kinds, i.object.ObjectKind()) }

// expandPaths replaces each folder by its resource files, sorted by name. Folders in it are not entered.
func expandPaths(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		if path == stdinName {
			files = append(files, path)
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return nil, commandline.UsageErrorf("%s", err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		found, err := resourceFiles(path)
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	return files, nil
}

func resourceFiles(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, commandline.UsageErrorf("%s", err)
	}
	var files []string
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if !entry.IsDir() && slices.Contains([]string{".yaml", ".yml", ".json"}, extension) {
			files = append(files, filepath.Join(folder, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, commandline.UsageErrorf("%s: no .yaml, .yml or .json file", folder)
	}
	return files, nil
}

func loadFile(file string, stdin io.Reader) ([]item, error) {
	content, err := readFile(file, stdin)
	if err != nil {
		return nil, err
	}
	// JSON is read as YAML: that names the line of a fault.
	documents, err := v1.DecodeDocuments(content)
	if err != nil {
		return nil, commandline.UsageErrorf("%s: %s", file, err)
	}
	items := make([]item, 0, len(documents))
	for _, document := range documents {
		found := item{object: document.Object, file: file, document: document}
		v1.Default(found.object)
		if faults := v1.Validate(found.object); len(faults) > 0 {
			return nil, found.fault(faults)
		}
		items = append(items, found)
	}
	return items, nil
}

func readFile(file string, stdin io.Reader) ([]byte, error) {
	source := stdin
	if file != stdinName {
		opened, err := os.Open(file)
		if err != nil {
			return nil, commandline.UsageErrorf("%s", err)
		}
		defer func() { _ = opened.Close() }()
		source = opened
	}
	content, err := io.ReadAll(io.LimitReader(source, maxFileBytes+1))
	if err != nil {
		return nil, commandline.UsageErrorf("%s: %s", file, cause(err))
	}
	if len(content) > maxFileBytes {
		return nil, commandline.UsageErrorf("%s: has more than %d bytes", file, maxFileBytes)
	}
	return content, nil
}

// cause drops the path that a file error repeats.
func cause(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// checkRepeats refuses a resource that is stated twice: which one holds would depend on their order.
func checkRepeats(items []item) error {
	first := make(map[string]item, len(items))
	for _, current := range items {
		earlier, found := first[current.id()]
		if found {
			return commandline.UsageErrorf("%s: line %d: %s is already stated in %s, line %d",
				current.file, current.document.Line, current.id(), earlier.file, earlier.document.Line)
		}
		first[current.id()] = current
	}
	return nil
}
