// Package auth tells who holds a bearer token: a trainer, an application, an operator or a read-only operator.
//
// The hashes of the tokens come from the resources in force and from the settings. Package secretindex finds them, and the index is
// rebuilt when the view changes, so the cost of a request does not grow with the number of callers.
package auth

import (
	"sync"
	"sync/atomic"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/secretindex"
	"github.com/covelink/covelink/internal/settings"
)

// Kind names what a caller is.
type Kind string

// The kinds of callers.
const (
	KindTrainer          Kind = "trainer"
	KindApplication      Kind = "application"
	KindOperator         Kind = "operator"
	KindReadOnlyOperator Kind = "readonly"
)

// Identity is one caller.
type Identity struct {
	Kind Kind
	Name string
}

// Identities are the callers that one token stands for; usually one, more where resources share a hash.
type Identities []Identity

// Has reports whether the identity is among them.
func (ids Identities) Has(kind Kind, name string) bool {
	for _, id := range ids {
		if id.Kind == kind && id.Name == name {
			return true
		}
	}
	return false
}

// Names returns the names of the callers of a kind.
func (ids Identities) Names(kind Kind) []string {
	var names []string
	for _, id := range ids {
		if id.Kind == kind {
			names = append(names, id.Name)
		}
	}
	return names
}

// Authenticator identifies callers. It is safe for concurrent use.
type Authenticator struct {
	source    cluster.Source
	operators []settings.Operator

	rebuild sync.Mutex
	current atomic.Pointer[index]
}

// index maps tokens to callers, as of one view.
type index struct {
	view    *cluster.View
	callers *secretindex.Index[Identities]
}

// New returns an Authenticator over the resources of the source and the operators of the settings.
func New(source cluster.Source, operators []settings.Operator) *Authenticator {
	return &Authenticator{source: source, operators: operators}
}

// Identify returns the callers that the token stands for, none if it is not known.
func (a *Authenticator) Identify(token string) Identities {
	callers, _ := a.index().callers.Find(token)
	return callers
}

// unconfigured reports whether this node has not been told the resources since it started.
func (a *Authenticator) unconfigured() bool {
	view := a.source.Current()
	return !view.Serving && len(view.Trainers)+len(view.Applications)+len(view.Pools)+len(view.Zones) == 0
}

// index returns the index of the current view.
func (a *Authenticator) index() *index {
	view := a.source.Current()
	if built := a.current.Load(); built != nil && built.view == view {
		return built
	}
	a.rebuild.Lock()
	defer a.rebuild.Unlock()
	view = a.source.Current()
	if built := a.current.Load(); built != nil && built.view == view {
		return built
	}
	built := a.build(view)
	a.current.Store(built)
	return built
}

func (a *Authenticator) build(view *cluster.View) *index {
	built := &index{view: view, callers: secretindex.New[Identities]()}
	for name, trainer := range view.Trainers {
		built.add(trainer.Spec.TokenHashes, Identity{Kind: KindTrainer, Name: name})
	}
	for name, application := range view.Applications {
		built.add(application.Spec.TokenHashes, Identity{Kind: KindApplication, Name: name})
	}
	for _, operator := range a.operators {
		built.add([]string{operator.TokenHash}, Identity{Kind: operatorKind(operator.Role), Name: operator.Name})
	}
	return built
}

// add makes tokens stand for a caller. What is not a hash was refused when the resource or the settings were checked, and stands for
// nobody.
func (x *index) add(digits []string, id Identity) {
	for _, written := range digits {
		hash, err := secretindex.ParseHash(written)
		if err != nil {
			continue
		}
		callers, _ := x.callers.At(hash)
		if !callers.Has(id.Kind, id.Name) {
			x.callers.Put(hash, append(callers, id))
		}
	}
}

func operatorKind(role settings.Role) Kind {
	if role == settings.RoleOperator {
		return KindOperator
	}
	return KindReadOnlyOperator
}
