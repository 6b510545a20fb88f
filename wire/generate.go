// Package wire holds the schemas of the JSON formats; its sub-packages are generated from them and committed.
package wire

//go:generate ./generate.sh
