package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	maxMicros       = 120_000_000
	precisionDigits = 3
	defaultLimit    = 10
	lateTolerance   = 25 * time.Millisecond
)

// tally accumulates the measurements of one class or of the whole run.
type tally struct {
	Figures
	histogram     *hdrhistogram.Histogram
	coverageSum   float64
	coverageCount int
}

func newTally() *tally { return &tally{histogram: hdrhistogram.New(1, maxMicros, precisionDigits)} }

// traffic sends the streams of one run and records their results.
type traffic struct {
	state   *RunState
	streams []Stream
	seed    uint64
	callers map[string]*caller.Caller

	mu         mutex.Mutex
	total      *tally
	classes    map[string]*tally
	refusals   map[string]int
	violations map[string]int
}

func newTraffic(state *RunState, streams []Stream, seed uint64) *traffic {
	t := &traffic{
		state: state, streams: streams, seed: seed, callers: map[string]*caller.Caller{},
		total: newTally(), classes: map[string]*tally{}, refusals: map[string]int{}, violations: map[string]int{},
	}
	for _, s := range streams {
		for _, name := range s.Callers {
			t.callers[s.Deployment+"/"+name] = state.World.Caller(s.Deployment, name)
		}
	}
	return t
}

// run sends every request at its intended start and waits for all of them.
func (t *traffic) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range t.streams {
		group.Go(func() { t.send(ctx, i, &t.streams[i]) })
	}
	group.Wait()
	for _, c := range t.callers {
		c.Close()
	}
}

// send sends the requests of one stream as a Poisson process that depends only on
// the seed.
func (t *traffic) send(ctx context.Context, number int, s *Stream) {
	random := rand.New(rand.NewPCG(t.seed, uint64(number)))
	to := s.To
	if to == 0 {
		to = 1
	}
	at := time.Duration(s.From * float64(t.state.Duration))
	end := time.Duration(to * float64(t.state.Duration))
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= end || ctx.Err() != nil {
			return
		}
		text := t.queryText(s, n, random)
		intended := t.state.Start.Add(at)
		time.Sleep(time.Until(intended))
		group.Go(func() { t.sendOne(ctx, s, n, text, intended) })
	}
}

func (t *traffic) queryText(s *Stream, n int, random *rand.Rand) string {
	word := corpus.Words[random.IntN(len(corpus.Words))]
	if s.Query != nil {
		return s.Query(n)
	}
	return fmt.Sprintf("%s #%s-%d", word, s.Class, n)
}

// sendOne sends one request and records the result.
func (t *traffic) sendOne(ctx context.Context, s *Stream, n int, text string, intended time.Time) {
	c := t.callers[s.Deployment+"/"+s.Callers[n%len(s.Callers)]]
	if s.Execute {
		key := fmt.Sprintf("%s-%d", s.Class, n)
		_, err := c.Execute(ctx, caller.Command{Service: s.Service, Text: text, Key: key, Deadline: s.Deadline})
		t.record(s, time.Since(intended), nil, err)
		t.state.recordExecute(s.Callers[n%len(s.Callers)]+"/"+key, err)
		return
	}
	answer, err := c.Search(ctx, caller.Query{Service: s.Service, Text: text, Deadline: s.Deadline, Limit: s.Limit})
	took := time.Since(intended)
	if answer != nil {
		if problem := t.verify(s, text, answer); problem != "" {
			t.mu.Lock()
			t.violations[problem]++
			t.mu.Unlock()
		}
	}
	t.record(s, took, answer, err)
}

// verify checks an answer against a search of the whole corpus and returns the
// name of the violation, if any.
func (t *traffic) verify(s *Stream, text string, answer *wire.SearchAnswer) string {
	limit := s.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	at := fmt.Sprintf("at version %d", answer.Version)
	for i := range answer.Hits {
		if !strings.HasSuffix(answer.Hits[i].Text, at) {
			return "MixedVersion"
		}
	}
	whole := answer.Coverage.ShardsAnswered == answer.Coverage.Shards && len(answer.Coverage.Missing) == 0
	if answer.Complete != whole || answer.Coverage.ShardsAnswered+len(answer.Coverage.Missing) != answer.Coverage.Shards {
		return "FalseCoverage"
	}
	if answer.Complete && !slices.Equal(ids(answer.Hits), t.expected(s, text, answer.Version, limit)) {
		return "WrongHits"
	}
	return ""
}

func (t *traffic) expected(s *Stream, text string, version uint64, limit int) []string {
	hits, _ := t.state.World.Corpora[s.Deployment+"/"+s.Service].Index(version, 1).Search(0, &wire.ShardRequest{Query: text, Limit: limit})
	return ids(hits)
}

func ids(hits []wire.Hit) []string {
	found := make([]string, 0, len(hits))
	for i := range hits {
		found = append(found, hits[i].ID)
	}
	return found
}

func (t *traffic) record(s *Stream, took time.Duration, answer *wire.SearchAnswer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	class := t.classes[s.Class]
	if class == nil {
		class = newTally()
		t.classes[s.Class] = class
	}
	if kind := refusalKind(err); kind != "" {
		t.refusals[kind]++
	}
	for _, y := range []*tally{t.total, class} {
		y.add(s, took, answer, err)
	}
}

func refusalKind(err error) string {
	var e *caller.Error
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e) && e.Refusal != nil:
		return string(e.Refusal.Kind)
	case errors.As(err, &e):
		return string(e.Kind)
	}
	return "Other"
}

func (y *tally) add(s *Stream, took time.Duration, answer *wire.SearchAnswer, err error) {
	y.Queries++
	var e *caller.Error
	refused := errors.As(err, &e)
	notRun := refused && e.Refusal != nil && e.Refusal.Ran == wire.RanNo
	switch {
	case err == nil && (answer == nil || answer.Complete):
		y.Complete++
		y.addCoverage(1)
	case err == nil:
		y.Partial++
		y.addCoverage(answer.Coverage.Share)
	default:
		y.Refused++
		if refused && e.Refusal != nil && e.Refusal.Coverage != nil {
			y.addCoverage(e.Refusal.Coverage.Share)
		}
	}
	if notRun {
		return
	}
	if took > s.Deadline+lateTolerance {
		y.Late++
	}
	// The value is clamped to the range of the histogram, so there is no error.
	_ = y.histogram.RecordValue(min(max(took.Microseconds(), 1), maxMicros))
}

func (y *tally) addCoverage(share float64) {
	y.coverageSum += share
	y.coverageCount++
}

func (y *tally) figures() Figures {
	f := y.Figures
	f.P50Millis = float64(y.histogram.ValueAtQuantile(50)) / 1000
	f.P99Millis = float64(y.histogram.ValueAtQuantile(99)) / 1000
	f.P999Millis = float64(y.histogram.ValueAtQuantile(99.9)) / 1000
	if y.coverageCount > 0 {
		f.Coverage = y.coverageSum / float64(y.coverageCount)
	}
	return f
}

func (t *traffic) result(policy string) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Result{Policy: policy, Figures: t.total.figures(), Refusals: t.refusals, PerClass: map[string]Figures{}}
	for name, y := range t.classes {
		r.PerClass[name] = y.figures()
	}
	for _, bracket := range t.total.histogram.CumulativeDistribution() {
		r.curve = append(r.curve, point{percent: bracket.Quantile, millis: float64(bracket.ValueAt) / 1000})
	}
	return r
}
