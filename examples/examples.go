// Package examples holds the deployments of the first two users: their resources, and a description of their
// deployment for the lab.
package examples

import "embed"

// The names of the files of an example.
const (
	ResourcesFile = "resources.yaml"
	LabFile       = "lab.yaml"
)

// Files holds every example: NAME/ResourcesFile and NAME/LabFile.
//
//go:embed */*.yaml
var Files embed.FS
