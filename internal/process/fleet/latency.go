package fleet

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindows           = 4
	latencyWindow            = time.Second
	latencyRefresh           = 100 * time.Millisecond
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
	shardWeight              = 0.05
	initialMeanSeconds       = 0.005
	// minSamples is the number of replies below which quantiles are not used.
	minSamples = 50
	// initialDelay is the hedge delay before there are minSamples replies.
	initialDelay = 50 * time.Millisecond
	// canaryQuantile is the latency quantile expected of the faster of two
	// canaries.
	canaryQuantile = 0.3
)

// latencies holds the recent latencies of a service's sub-requests: a windowed
// histogram over all shards, and a moving average for each shard.
type latencies struct {
	window    *hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	merged    *hdrhistogram.Histogram
	mean      float64
	shards    []float64
}

func newLatencies() *latencies {
	return &latencies{
		window: hdrhistogram.NewWindowed(latencyWindows, 1, maxLatencyMicros, latencySignificantDigits),
		mean:   initialMeanSeconds,
	}
}

func (l *latencies) observe(now time.Time, shard int, seconds float64) {
	if now.Sub(l.rotated) >= latencyWindow {
		l.window.Rotate()
		l.rotated = now
	}
	micros := min(max(int64(seconds*1e6), 1), maxLatencyMicros)
	// RecordValue fails only for values out of range, and this one was clamped.
	_ = l.window.Current.RecordValue(micros)
	for len(l.shards) <= shard {
		l.shards = append(l.shards, 0)
	}
	if l.shards[shard] == 0 {
		l.shards[shard] = seconds
		return
	}
	l.shards[shard] += shardWeight * (seconds - l.shards[shard])
}

func (l *latencies) refresh(now time.Time) {
	if l.merged != nil && now.Sub(l.refreshed) < latencyRefresh {
		return
	}
	l.merged = l.window.Merge()
	l.refreshed = now
	if l.merged.TotalCount() > 0 {
		l.mean = l.merged.Mean() / 1e6
	}
}

// quantile returns the latency that the given share of recent replies stays
// within. The result ok is false while there are too few replies.
func (l *latencies) quantile(now time.Time, share float64) (time.Duration, bool) {
	l.refresh(now)
	if l.merged.TotalCount() < minSamples {
		return initialDelay, false
	}
	return time.Duration(l.merged.ValueAtQuantile(share*100)) * time.Microsecond, true
}

// slowness returns the ratio of a shard's latency to the service's mean, at
// least 1.
func (l *latencies) slowness(shard int) float64 {
	if shard >= len(l.shards) || l.mean <= 0 {
		return 1
	}
	return max(1, l.shards[shard]/l.mean)
}

// HedgeDelay returns the given quantile of the service's recent latency.
// Callers multiply it by Slowness for a shard that is always slower than the
// others.
func (f *Fleet) HedgeDelay(now time.Time, share float64) time.Duration {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	delay, _ := f.latency.quantile(now, share)
	return delay
}

// Slowness returns the ratio of a shard's latency to the service's mean, at
// least 1.
func (f *Fleet) Slowness(shard int) float64 {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	return f.latency.slowness(shard)
}
