package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/target"
	"github.com/magnoliarelay/magnoliarelay/internal/process/budget"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/request/inbox"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// marginShare and marginMost keep time for the answer after the gather.
	marginShare = 20
	marginMost  = 5 * time.Millisecond
	// restartsMost bounds the plans abandoned for a version that went away.
	restartsMost = 2
)

// Request is one search after admission.
type Request struct {
	// ID is unique among all requests of all daemons.
	ID       string
	Query    string
	Limit    int
	All      bool
	Cursor   string
	Least    float64
	Priority int
	Deadline time.Time
	Settings *tree.Settings
}

// Runner runs the searches of one service. Its fields are set before Run.
type Runner struct {
	Deployment string
	Service    string
	Fleet      *fleet.Fleet
	Pool       *target.Pool
	Hedges     *budget.Budget
	Retries    *budget.Budget
	Poison     *poison.Register
	Meter      *meter.Meter
	// Suspect is called when a query has lost a target, to tell other daemons.
	Suspect func()
}

// Run carries out the request. Exactly one result is set.
func (r *Runner) Run(ctx context.Context, request *Request) (*wire.SearchAnswer, *wire.Refusal) {
	started := time.Now()
	fingerprint := poison.Fingerprint(r.Deployment, r.Service, request.Query)
	if left, held := r.Poison.Quarantined(started, fingerprint); held {
		r.Meter.Decide("RefuseQuarantined")
		return nil, quarantined(left)
	}
	view, after, refusal := r.plan(request)
	if refusal != nil {
		return nil, refusal
	}
	margin := min(time.Until(request.Deadline)/marginShare, marginMost)
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-margin))
	defer cancel()
	for restarts := 0; ; restarts++ {
		s := r.scatter(request, view, after, fingerprint)
		refusal := s.run(ctx)
		if refusal != nil {
			refusal.Ran = s.ran()
			return nil, refusal
		}
		if next := r.newer(s); next != nil && restarts < restartsMost && ctx.Err() == nil && request.Cursor == "" {
			r.Meter.Decide("RestartAtNewVersion")
			view = next
			continue
		}
		return r.conclude(s, request, started, restarts)
	}
}

// newer returns the view to start again with, when shards are missing because
// their version went away.
func (r *Runner) newer(s *scatter) *fleet.View {
	if !s.versionGone || s.gather.Answered() == s.view.Shards() {
		return nil
	}
	next := r.Fleet.Plan()
	if next == nil || next.Version == s.view.Version {
		return nil
	}
	return next
}

// plan pins the view that the whole request runs on.
func (r *Runner) plan(request *Request) (view *fleet.View, after string, refusal *wire.Refusal) {
	if request.Cursor != "" {
		version, after, err := parseCursor(request.Cursor)
		if err != nil {
			return nil, "", &wire.Refusal{Kind: wire.RefusalInvalid, Message: "Cursor: " + err.Error(), Ran: wire.RanNo}
		}
		view = r.Fleet.PlanVersion(version)
		if view == nil {
			message := fmt.Sprintf("index version %d is no longer served; start again without Cursor", version)
			return nil, "", &wire.Refusal{Kind: wire.RefusalVersionGone, Message: message, Ran: wire.RanNo}
		}
		return view, after, nil
	}
	view = r.Fleet.Plan()
	if view == nil {
		message := "no target of " + r.Deployment + "/" + r.Service + " is known to be up"
		return nil, "", &wire.Refusal{Kind: wire.RefusalNoTarget, Message: message, Ran: wire.RanNo, RetryAfterMillis: 500}
	}
	if lost := view.Lost(); float64(view.Shards()-len(lost)) < request.Least*float64(view.Shards()) {
		r.Meter.Decide("RefuseKnownLost")
		refusal := tooLittle(coverage(view.Shards(), lost), request.Least)
		refusal.Ran = wire.RanNo
		return nil, "", refusal
	}
	return view, "", nil
}

func (r *Runner) scatter(request *Request, view *fleet.View, after string, fingerprint uint64) *scatter {
	q := poison.Query{Fingerprint: fingerprint, Version: view.Version}
	body, err := codec.Encode(&wire.ShardRequest{
		Service: r.Service, Query: request.Query, Limit: request.Limit, All: request.All, After: after,
	})
	return &scatter{
		runner: r, request: request, view: view, body: body, encodeErr: err,
		query:  q,
		canary: request.Settings.Canary && !r.Poison.Known(q),
		from:   rand.IntN(max(view.Shards(), 1)),
		inbox:  inbox.New[event](),
	}
}

// conclude turns the end of a scatter into an answer or a refusal.
func (r *Runner) conclude(s *scatter, request *Request, started time.Time, restarts int) (*wire.SearchAnswer, *wire.Refusal) {
	cover := coverage(s.view.Shards(), s.gather.Missing())
	extras := s.extras()
	r.Meter.Extras.WithLabelValues(r.Deployment, r.Service).Add(float64(extras))
	r.Meter.Primaries.WithLabelValues(r.Deployment, r.Service).Add(float64(s.gather.Attempts() - extras))
	if cover.ShardsAnswered != s.merged {
		r.Meter.Violate("CoverageNotMerged")
	}
	if cover.Share < request.Least {
		refusal := tooLittle(cover, request.Least)
		refusal.Ran = s.ran()
		return nil, refusal
	}
	hits, more := s.merge.Result()
	answer := &wire.SearchAnswer{
		Complete: len(cover.Missing) == 0, Coverage: cover, Version: s.view.Version, Hits: hits,
		Attempts: s.gather.Attempts(), ExtraAttempts: extras, Restarts: restarts,
		LatencyMillis: float64(time.Since(started).Microseconds()) / 1000,
	}
	if request.All && more && len(hits) > 0 {
		answer.Cursor = formatCursor(s.view.Version, hits[len(hits)-1].ID)
	}
	return answer, nil
}

func coverage(shards int, missing []int) wire.Coverage {
	c := wire.Coverage{Shards: shards, ShardsAnswered: shards - len(missing), Missing: missing}
	if shards > 0 {
		c.Share = float64(c.ShardsAnswered) / float64(shards)
	}
	return c
}

func tooLittle(c wire.Coverage, least float64) *wire.Refusal {
	message := "coverage " + strconv.FormatFloat(c.Share, 'f', 4, 64) + " is below the " +
		strconv.FormatFloat(least, 'f', 4, 64) + " demanded"
	return &wire.Refusal{Kind: wire.RefusalCoverage, Message: message, Coverage: &c, RetryAfterMillis: 100}
}

func quarantined(left time.Duration) *wire.Refusal {
	return &wire.Refusal{
		Kind:             wire.RefusalQuarantined,
		Message:          "targets were lost while they ran this query; it is held back",
		Ran:              wire.RanNo,
		RetryAfterMillis: left.Milliseconds(),
	}
}
