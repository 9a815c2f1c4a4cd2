//go:build review

package main

import (
	_ "embed" // names and settings of the platform are kept out of the code
	"encoding/json"
)

// settingsFile holds the settings of a node, as in the example of the users' pages.
//
//go:embed settings.yaml.tmpl
var settingsFile string

//go:embed names.json
var namesFile []byte

// names are the names of the platform's protocol that the stand-ins speak.
var names = readNames()

type platformNames struct {
	// ConfigKey is the key of the configuration in the store; the next three are fields of it.
	ConfigKey     string
	HealthPath    string
	LatencyTarget string
	MinShare      string
	// Entry is the format of a target's entry.
	Entry string

	HeaderID        string
	HeaderDeadline  string
	HeaderSignature string
	HeaderExpected  string
	HeaderInstance  string
	HeaderNotRun    string
	HeaderLoad      string
}

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
