// Package status implements the command that shows the status of a daemon.
//
// # Usage
//
//	magnoliarelay status --daemon http://127.0.0.1:7000
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

const timeout = 5 * time.Second

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Daemon string `help:"Base URL of the daemon." required:""`
	JSON   bool   `help:"Print the status as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Example:\n  magnoliarelay status --daemon http://127.0.0.1:7000"
}

// Run fetches the status from the daemon and prints it.
func (o *Options) Run(ctx context.Context) error {
	status, err := Fetch(ctx, o.Daemon)
	if err != nil {
		return &term.Error{Op: "status", Kind: term.KindFailed, Err: err}
	}
	if o.JSON {
		return o.Streams.JSON(status)
	}
	o.Streams.PrintErrf("%s: %s %s, settings revision %d, change %d, %d idempotency keys, %d queries quarantined",
		status.Name, status.State, status.Reason, status.SettingsRevision, status.SettingsNumber, status.IdempotencyKeys, status.Quarantined)
	members := o.Streams.Table("DAEMON", "STATE", "DATA CENTRE", "URL")
	for _, m := range status.Members {
		members.Row(m.Name, m.State, m.DataCentre, m.URL)
	}
	if err := members.Flush(); err != nil {
		return err
	}
	services := o.Streams.Table("SERVICE", "VERSION", "SHARDS", "LOST", "TARGETS", "CAPACITY", "RUNNING", "WAITING", "HEDGES/S", "RETRIES/S", "OF")
	for _, s := range status.Services {
		services.Row(s.Deployment+"/"+s.Service, strconv.FormatUint(s.IndexVersion, 10), strconv.Itoa(s.Shards),
			strconv.Itoa(len(s.LostShards)), fmt.Sprintf("%d/%d", s.TargetsUp, s.Targets), strconv.Itoa(s.Capacity),
			strconv.Itoa(s.Running), strconv.Itoa(s.Waiting), strconv.Itoa(s.LastSecond.Hedges),
			strconv.Itoa(s.LastSecond.Retries), strconv.Itoa(s.LastSecond.Primaries))
	}
	return services.Flush()
}

// Fetch returns the status of the daemon at a base URL.
func Fetch(ctx context.Context, url string) (*daemon.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+"/v1/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.Causef("%s answered %s", url, response.Status)
	}
	var status daemon.Status
	return &status, json.NewDecoder(response.Body).Decode(&status)
}
