// Package operator implements the operator API, which changes and inspects the configuration, and a client for it.
package operator

import (
	"context"
	"fmt"

	"monsoondale/core"
	"monsoondale/core/workspace"
)

// StoredObject is an object in the store. Version 0 means that it does not exist.
type StoredObject struct {
	Kind, Name string
	Version    core.Revision
	Value      string
}

// Store reads and writes configuration objects. A deletion is written as a value too, so that it records its author
// and can be read back. Errors other than ConflictError and UndeterminedError mean that nothing was changed.
type Store interface {
	// Get returns the object, with version 0 if it does not exist.
	Get(ctx context.Context, kind, name string) (StoredObject, error)
	// Put writes the object if its version is still old, or, with old 0, if it does not exist, and returns the new
	// version. The error may be a *ConflictError or an *UndeterminedError. Put must not retry after a lost response.
	Put(ctx context.Context, kind, name, value string, old core.Revision) (core.Revision, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]StoredObject, error)
}

// ConflictError means that the object had another version. Nothing was changed.
type ConflictError struct {
	Current StoredObject
}

// Error returns the kind, name and current version of the object.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s has version %d", c.Current.Kind, c.Current.Name, c.Current.Version)
}

// UndeterminedError means that a write was sent, but without a response it is unknown whether it took effect.
type UndeterminedError struct {
	Err error
}

// Error returns a message with the cause.
func (u *UndeterminedError) Error() string { return "no response to a write: " + u.Err.Error() }

// Unwrap returns the cause.
func (u *UndeterminedError) Unwrap() error { return u.Err }

// Checker checks a change against the configuration in force; see workspace.Compiler.Check.
type Checker interface {
	Check(o workspace.Object) (affected int, err error)
}
