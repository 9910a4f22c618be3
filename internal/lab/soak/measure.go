package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The metrics of a node that tell of leaks.
const (
	metricGoroutines = "go_goroutines"
	metricOpenFiles  = "process_open_fds"
	metricMemory     = "process_resident_memory_bytes"
)

// Sample is what a process held at one moment at rest.
type Sample struct {
	At time.Time
	// PID tells the lives of the process apart.
	PID         int
	Goroutines  int
	OpenFiles   int
	MemoryBytes int64
	// DiskBytes is the size of the data folder; 0 without one.
	DiskBytes int64
}

// measure takes a sample of each node after a short rest.
func (s *soak) measure(ctx context.Context) {
	sleep(ctx, restTime)
	for _, node := range s.deployment.Plan().Nodes {
		sample, err := s.sample(ctx, node.Node.Name)
		if err != nil {
			s.report.Problems = append(s.report.Problems, fmt.Sprintf("%s could not be measured: %v", node.Node.Name, err))
			continue
		}
		if node.Node.DataDir != "" {
			sample.DiskBytes = folderSize(node.Node.DataDir)
		}
		s.report.Samples[node.Node.Name] = append(s.report.Samples[node.Node.Name], sample)
	}
}

func (s *soak) sample(ctx context.Context, node string) (Sample, error) {
	sample := Sample{At: time.Now()}
	sample.PID, _ = s.deployment.Node(node).PID()
	response, err := s.deployment.Metrics(ctx, node)
	if err != nil {
		return sample, err
	}
	defer response.Body.Close()
	values, err := gauges(response.Body)
	sample.Goroutines = int(values[metricGoroutines])
	sample.OpenFiles = int(values[metricOpenFiles])
	sample.MemoryBytes = int64(values[metricMemory])
	return sample, err
}

// gauges reads the metrics without labels.
func gauges(text io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = number
		}
	}
	return values, lines.Err()
}

// folderSize sums the sizes of the files of a folder; files that vanish meanwhile are left out.
func folderSize(folder string) int64 {
	var total int64
	_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}
