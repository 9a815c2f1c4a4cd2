// Package hosts reads the platform's list of live and leaving hosts. The list
// lags, so it is only a hint: what targets and daemons report about themselves
// takes precedence.
//
// # Usage
//
//	h := &hosts.Hosts{URL: "http://127.0.0.1:8500/hosts"}
//	list, err := h.Read(ctx)
package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// KindUnavailable means that the list could not be read.
const KindUnavailable Kind = "Unavailable"

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	readTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// Hosts is a client of the list. Exported fields are set before use.
type Hosts struct {
	URL string
}

// Read returns the listed hosts.
func (h *Hosts) Read(ctx context.Context) ([]wire.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.URL, nil)
	if err != nil {
		return nil, &Error{Op: "read hosts", Kind: KindUnavailable, Err: err}
	}
	response, err := (&http.Client{Transport: dial.Transport}).Do(request)
	if err != nil {
		return nil, &Error{Op: "read hosts", Kind: KindUnavailable, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &Error{Op: "read hosts", Kind: KindUnavailable, Err: fault.Causef("the list answered %s", response.Status)}
	}
	var list wire.HostList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&list); err != nil {
		return nil, &Error{Op: "read hosts", Kind: KindUnavailable, Err: err}
	}
	return list.Hosts, nil
}
