// Package operator serves the API of operators, with which they change and inspect the configuration, and holds its
// client.
package operator

import (
	"context"
	"fmt"

	"monsoondale/core"
	"monsoondale/core/workspace"
)

// StoredObject is an object of the store. Version 0 means that it does not exist.
type StoredObject struct {
	Kind, Name string
	Version    core.Revision
	Value      string
}

// Store reads and writes configuration objects. Deletions are written as values too, so that they carry their author
// and can be read back. Errors other than the two below mean that nothing was changed.
type Store interface {
	// Get returns the object, with version 0 if it does not exist.
	Get(ctx context.Context, kind, name string) (StoredObject, error)
	// Put writes the object if its version is still old, where 0 stands for an object that does not exist, and
	// returns the new version. The error may be a *Conflict or an *Undetermined. Put must not retry by itself
	// after a response was lost.
	Put(ctx context.Context, kind, name, value string, old core.Revision) (core.Revision, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]StoredObject, error)
}

// ConflictError means that the object had another version. Nothing was changed.
type ConflictError struct {
	Current StoredObject
}

// Error names the version found.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s has version %d", c.Current.Kind, c.Current.Name, c.Current.Version)
}

// UndeterminedError means that the write was sent and no response tells whether it took effect.
type UndeterminedError struct {
	Err error
}

// Error returns the cause.
func (u *UndeterminedError) Error() string { return "no response to a write: " + u.Err.Error() }

// Unwrap returns the cause.
func (u *UndeterminedError) Unwrap() error { return u.Err }

// Checker checks a change against the configuration in force; see workspace.Compiler.Check.
type Checker interface {
	Check(o workspace.Object) (affected int, err error)
}
