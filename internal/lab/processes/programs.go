// Package processes runs a deployment as separate processes, each link between two of them through a fault proxy of its
// own. Tests and the soak use it; the daemon itself starts no process.
package processes

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"

	"github.com/covelink/covelink/internal/lab/deployment"
)

// modulePath is the module whose programs are built.
const modulePath = "github.com/covelink/covelink"

// Programs is the folder that holds the programs.
type Programs string

// Build builds the programs into a folder. The working directory must lie within the module.
func Build(ctx context.Context, folder string) (Programs, error) {
	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, program := range []string{deployment.ProgramDaemon, deployment.ProgramLab} {
		arguments = append(arguments, modulePath+"/cmd/"+program)
	}
	output, err := exec.CommandContext(ctx, "go", arguments...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the programs: %w: %s", err, output)
	}
	return Programs(folder), nil
}

// path returns the path of a program.
func (p Programs) path(program string) string { return filepath.Join(string(p), program) }
