// Package examples holds a settings tree for the two deployments that the
// demo and the tests run.
//
// # Usage
//
//	files, err := tree.Read(examples.Settings())
package examples

import (
	"embed"
	"io/fs"
)

//go:embed settings
var content embed.FS

// Settings returns the root of the example tree.
func Settings() fs.FS {
	root, err := fs.Sub(content, "settings")
	if err != nil {
		panic(err)
	}
	return root
}
