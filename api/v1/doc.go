// Package v1 holds the public types of covelink: the resources that operators
// write, and the wire types that trainers and applications exchange with a node.
//
// The package has no I/O. Defaults and validation of every type stand beside it.
package v1
