// Package meter holds all metrics of a daemon. The settings bound the number of label
// values: labels hold deployment, service and class, and never the name of a caller.
//
// # Usage
//
//	m := meter.New()
//	m.Latency.WithLabelValues("Erbacee", "LabelDesk", "Labels").Observe(seconds)
//	m.CountViolation("MixedVersion")
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"bytes"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const namespace = "magnoliarelay"

var (
	secondsBuckets  = prometheus.ExponentialBuckets(0.0005, 2, 16)
	shareBuckets    = []float64{0.5, 0.9, 0.95, 0.99, 0.999, 0.99999, 1}
	attemptsBuckets = prometheus.ExponentialBuckets(1, 2, 11)
	classLabels     = []string{"deployment", "service", "class"}
)

// Meter holds the metrics of one daemon.
type Meter struct {
	registry *prometheus.Registry

	// Latency is the time from the arrival of a request to its answer, in seconds.
	Latency *prometheus.HistogramVec
	// Coverage is the share of shards that contributed to an answer or refusal.
	Coverage *prometheus.HistogramVec
	// QueueWait is the time that a request waits for admission, in seconds.
	QueueWait *prometheus.HistogramVec
	// Attempts is the number of attempts per request, over all shards.
	Attempts *prometheus.HistogramVec
	// Answers counts requests by result: Complete, Partial or a refusal's kind.
	Answers *prometheus.CounterVec
	// Outcomes counts attempts by outcome.
	Outcomes *prometheus.CounterVec
	// ExtraAttempts counts the attempts beyond the first one per shard.
	ExtraAttempts *prometheus.CounterVec
	// Primaries counts the primary attempts: the first one per shard.
	Primaries *prometheus.CounterVec
	// Decisions counts decisions of the control path by name.
	Decisions *prometheus.CounterVec
	// Gauges holds single values by name, such as the settings revision.
	Gauges *prometheus.GaugeVec
	// Violations counts broken invariants by name.
	Violations *prometheus.CounterVec
	// LinkBytes counts the bytes between daemons by direction.
	LinkBytes *prometheus.CounterVec
	// LinkSent counts the bytes sent to other daemons by message type.
	LinkSent *prometheus.CounterVec
	// StoreCalls counts the calls to the store by kind.
	StoreCalls *prometheus.CounterVec

	// collecting is held while the metrics are collected.
	collecting mutex.Mutex

	mu       mutex.Mutex
	violated map[string]int
}

// New creates and registers all metrics.
func New() *Meter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
		h := prometheus.NewHistogramVec(opts, classLabels)
		registry.MustRegister(h)
		return h
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		registry.MustRegister(c)
		return c
	}
	gauges := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "state", Help: "Single values by name."}, []string{"name"})
	registry.MustRegister(gauges)
	return &Meter{
		registry:      registry,
		Latency:       histogram("latency_seconds", "Latency of whole requests.", secondsBuckets),
		Coverage:      histogram("coverage_share", "Share of shards behind each result.", shareBuckets),
		QueueWait:     histogram("queue_wait_seconds", "Time before admission.", secondsBuckets),
		Attempts:      histogram("attempts", "Sub-requests of each request.", attemptsBuckets),
		Answers:       counter("answers_total", "Requests by result.", append([]string{"result"}, classLabels...)...),
		Outcomes:      counter("outcomes_total", "Sub-requests by outcome.", "outcome"),
		ExtraAttempts: counter("extra_attempts_total", "Sub-requests beyond one a shard.", "deployment", "service"),
		Primaries:     counter("primary_attempts_total", "First sub-requests.", "deployment", "service"),
		Decisions:     counter("decisions_total", "Decisions of the control path.", "decision"),
		Gauges:        gauges,
		Violations:    counter("invariant_violations_total", "Broken invariants.", "invariant"),
		LinkBytes:     counter("link_bytes_total", "Bytes between daemons.", "direction"),
		LinkSent:      counter("link_sent_bytes_total", "Bytes sent to other daemons by type of message.", "type"),
		StoreCalls:    counter("store_calls_total", "Calls to the store.", "call"),
		violated:      map[string]int{},
	}
}

// Handler returns the HTTP handler that serves the metrics. It collects them for one
// request at a time, and keeps nothing locked while a client reads.
func (m *Meter) Handler() http.Handler {
	collect := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page := &page{header: w.Header(), status: http.StatusOK}
		m.collecting.Lock()
		collect.ServeHTTP(page, r)
		m.collecting.Unlock()
		w.WriteHeader(page.status)
		// A client that has left needs no answer.
		_, _ = w.Write(page.body.Bytes())
	})
}

// page is an answer in memory.
type page struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (p *page) Header() http.Header { return p.header }

func (p *page) WriteHeader(status int) { p.status = status }

func (p *page) Write(data []byte) (int, error) { return p.body.Write(data) }

// CountDecision counts a decision by its name.
func (m *Meter) CountDecision(name string) { m.Decisions.WithLabelValues(name).Inc() }

// CountViolation counts a broken invariant.
func (m *Meter) CountViolation(name string) {
	m.Violations.WithLabelValues(name).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violated[name]++
}

// ViolationCounts returns how often each invariant was broken.
func (m *Meter) ViolationCounts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	violated := make(map[string]int, len(m.violated))
	for name, count := range m.violated {
		violated[name] = count
	}
	return violated
}

// Sum returns the sum of a counter over all labels, by its name without the namespace.
func (m *Meter) Sum(name string) float64 {
	families, err := m.registry.Gather()
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, family := range families {
		if family.GetName() != namespace+"_"+name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}
