package cli

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/examples"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/deployment"
)

const (
	flagExample     = "example"
	flagDescription = "description"
	flagDir         = "dir"

	defaultExample = "moreton"
	dataFolder     = "data"
	// privateMode keeps the tokens in the files from other users.
	privateMode = 0o600
	folderMode  = 0o755
)

func exampleFlag() cli.Flag {
	return &cli.StringFlag{Name: flagExample, Usage: "the deployment: " + strings.Join(exampleNames(), " or "), Value: defaultExample}
}

// exampleNames lists the examples that hold a lab description.
func exampleNames() []string {
	files, err := fs.Glob(examples.Files, "*/"+examples.LabFile)
	if err != nil {
		panic(fmt.Sprintf("the pattern of examples is not valid: %s", err))
	}
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, filepath.Dir(file))
	}
	return names
}

// example is one example deployment and its resources.
type example struct {
	description deployment.Description
	resources   []byte
}

func readExample(name string) (example, error) {
	lab, err := examples.Files.ReadFile(name + "/" + examples.LabFile)
	if err != nil {
		return example{}, commandline.UsageErrorf("--%s %q: must be %s", flagExample, name, strings.Join(exampleNames(), " or "))
	}
	description, err := deployment.Parse(name+"/"+examples.LabFile, lab)
	if err != nil {
		return example{}, err
	}
	resources, err := examples.Files.ReadFile(name + "/" + examples.ResourcesFile)
	if err != nil {
		return example{}, fmt.Errorf("example %s: %w", name, err)
	}
	return example{description: description, resources: resources}, nil
}

func upCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "write the settings of every process of a deployment and print the commands that start them",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.StringFlag{Name: flagDescription, Usage: "describe the deployment by a `FILE` instead of an example"},
			&cli.StringFlag{Name: flagDir, Usage: "the `FOLDER` to write to"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			if command.String(flagDir) == "" {
				return commandline.UsageErrorf("--%s: must name a folder", flagDir)
			}
			return up(command, streams)
		},
	}
}

func up(command *cli.Command, streams commandline.Streams) error {
	chosen, err := readExample(command.String(flagExample))
	if file := command.String(flagDescription); file != "" {
		chosen, err = readDescription(file)
	}
	if err != nil {
		return err
	}
	folder := command.String(flagDir)
	plan, err := deployment.NewPlan(chosen.description, deployment.FreePorts(), filepath.Join(folder, dataFolder))
	if err != nil {
		return err
	}
	processes, err := plan.WriteFiles(folder)
	if err != nil {
		return err
	}
	printer := upPrinter{streams: streams, plan: plan}
	if chosen.resources != nil {
		printer.resources = filepath.Join(folder, examples.ResourcesFile)
		if err := os.WriteFile(printer.resources, chosen.resources, privateMode); err != nil {
			return err
		}
	}
	printer.print(processes)
	return nil
}

func readDescription(file string) (example, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return example{}, commandline.UsageErrorf("%s", err)
	}
	description, err := deployment.Parse(file, content)
	return example{description: description}, err
}

// upPrinter prints the commands that start a deployment.
type upPrinter struct {
	streams commandline.Streams
	plan    *deployment.Plan
	// resources is the file of the resources; empty if there is none.
	resources string
}

func (p upPrinter) print(processes []deployment.Process) {
	p.line("go build -o bin/ ./cmd/...")
	for _, process := range processes {
		if !process.Ends {
			p.line("bin/%s &", process.Command)
		}
	}
	// The nodes read every COVELINK_ variable as a setting, so these come after them.
	p.line("export COVELINK_SERVER=%s", p.plan.NodeURLs()[0])
	p.line("export COVELINK_TOKEN=%s", p.plan.Description.Operator.Token)
	if p.resources != "" {
		p.line("until bin/covelinkctl get zones >/dev/null 2>&1; do sleep 0.2; done")
		p.line("bin/covelinkctl apply -f %s --wait", p.resources)
	}
	for _, process := range processes {
		if process.Ends {
			p.line("bin/%s", process.Command)
		}
	}
}

func (p upPrinter) line(format string, args ...any) {
	_, _ = fmt.Fprintf(p.streams.Out, format+"\n", args...)
}
