//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"text/template"
)

// The names of the platform's protocol stand in data files.
var (
	//go:embed names.json
	namesFile []byte
	//go:embed settings.yaml.tmpl
	settings string
	//go:embed entry.json.tmpl
	entryFormat string
	//go:embed config.json.tmpl
	configurationFile string
)

var names = func() (n struct{ HeaderPrefix, ConfigKey string }) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()

// The headers of the platform.
var (
	headerID        = names.HeaderPrefix + "Request-Id"
	headerDeadline  = names.HeaderPrefix + "Request-Deadline"
	headerInstance  = names.HeaderPrefix + "Expected-Instance"
	headerSignature = names.HeaderPrefix + "Response-Signature"
	headerNotRun    = names.HeaderPrefix + "Not-Executed"
	headerLoad      = names.HeaderPrefix + "Server-Load"
	headerOwnID     = names.HeaderPrefix + "Instance-Id"
)

var configuration = template.Must(template.New("configuration").Funcs(template.FuncMap{
	"json": func(value any) (string, error) {
		data, err := json.Marshal(value)
		return string(data), err
	},
}).Parse(configurationFile))
