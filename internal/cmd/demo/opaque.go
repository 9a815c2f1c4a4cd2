package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/request/merge"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	opaqueHost    = "herbarium.example"
	opaqueTop     = 5
	opaqueTimeout = 2 * time.Second
)

// opaqueAnswer is the answer to a request that the daemon relayed unchanged.
type opaqueAnswer struct {
	Text          string
	Coverage      string
	LatencyMillis float64
}

// opaqueRequests sends one request over the gather route of the example settings
// and one over the route to a single pool.
func opaqueRequests(ctx context.Context, w *world.World) ([]result, error) {
	body, gathered, err := sendOpaque(ctx, w, http.MethodGet, "/catalogue/oregano", "demo-1", "")
	if err != nil {
		return nil, fmt.Errorf("opaque gather: %w", err)
	}
	var parts [][]byte
	for shelf := range 3 {
		parts = append(parts, shard.Records(fmt.Sprintf("Shelf%d", shelf+1), "/catalogue/oregano"))
	}
	if gathered.Coverage != "3/3" || !slices.Equal(body, merge.Greatest(parts, opaqueTop)) {
		return nil, fault.Causef("the opaque gather has coverage %s and %d bytes", gathered.Coverage, len(body))
	}
	gathered.Text = strconv.Itoa(len(body)/shard.RecordBytes) + " records"
	_, printed, err := sendOpaque(ctx, w, http.MethodPost, "/print/jar-42", "demo-2", "two labels")
	if err != nil {
		return nil, fmt.Errorf("opaque request: %w", err)
	}
	if !strings.HasSuffix(printed.Text, "done once, 10 bytes") {
		return nil, fault.Causef("unexpected answer to the opaque request: %q", printed.Text)
	}
	return []result{
		{What: "Erbacee catalogue, opaque, gathered", Opaque: gathered}, {What: "Erbacee print, opaque", Opaque: printed},
	}, nil
}

func sendOpaque(ctx context.Context, w *world.World, method, path, id, text string) ([]byte, *opaqueAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, opaqueTimeout)
	defer cancel()
	start := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.Running[0].Opaque()+path, strings.NewReader(text))
	if err != nil {
		return nil, nil, err
	}
	request.Host = opaqueHost
	request.Header.Set(wire.HeaderRequest, id)
	request.Header.Set(wire.HeaderTimeout, strconv.FormatInt(opaqueTimeout.Microseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, nil, fault.Causef("status %d, body %s, error %v after %v of %v", response.StatusCode, body, err, time.Since(start), opaqueTimeout)
	}
	return body, &opaqueAnswer{
		Text: string(body), Coverage: response.Header.Get(wire.HeaderCoverage), LatencyMillis: time.Since(start).Seconds() * 1000,
	}, nil
}
