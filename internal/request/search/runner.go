package search

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
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
	// The gather ends before the deadline to leave time for the answer: by the
	// remaining time divided by marginDivisor, and at most by maxMargin.
	marginDivisor = 20
	maxMargin     = 5 * time.Millisecond
	// maxRestarts bounds the restarts of one request after targets dropped the
	// index version.
	maxRestarts = 2
)

// Request is one search after admission.
type Request struct {
	// ID is unique among all requests of all daemons.
	ID          string
	Query       string
	Limit       int
	All         bool
	Cursor      string
	MinCoverage float64
	Priority    int
	Deadline    time.Time
	Settings    *tree.Settings
}

// Runner runs the searches of one service. Its fields are set before Run.
type Runner struct {
	Deployment  string
	Service     string
	Fleet       *fleet.Fleet
	Pool        *target.Pool
	HedgeBudget *budget.Budget
	RetryBudget *budget.Budget
	Poison      *poison.Register
	Meter       *meter.Meter
	// OnTargetLost is called after a target was lost while it ran a query. The
	// daemon then reports the loss to the other daemons.
	OnTargetLost func()
}

// Run runs the request. Exactly one result is set.
func (r *Runner) Run(ctx context.Context, request *Request) (*wire.SearchAnswer, *wire.Refusal) {
	started := time.Now()
	fingerprint := poison.Fingerprint(r.Deployment, r.Service, request.Query)
	if remaining, quarantined := r.Poison.Quarantined(started, fingerprint); quarantined {
		r.Meter.CountDecision("RefuseQuarantined")
		return nil, quarantineRefusal(remaining)
	}
	view, after, refusal := r.plan(request)
	if refusal != nil {
		return nil, refusal
	}
	margin := min(time.Until(request.Deadline)/marginDivisor, maxMargin)
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-margin))
	defer cancel()
	spent := 0
	for restarts := 0; ; restarts++ {
		s := r.scatter(request, view, after, fingerprint)
		s.spent = spent
		refusal := s.run(ctx)
		if refusal != nil {
			refusal.Ran = s.ran()
			return nil, refusal
		}
		if next := r.newerView(s); next != nil && restarts < maxRestarts && ctx.Err() == nil && request.Cursor == "" {
			r.Meter.CountDecision("RestartAtNewVersion")
			view, spent = next, s.gather.Spent()
			continue
		}
		answer, refusal := r.conclude(s, request, started, restarts)
		if refusal != nil && errors.Is(context.Cause(ctx), drain.ErrStopping) {
			return nil, stoppingRefusal(s.ran())
		}
		return answer, refusal
	}
}

// newerView returns the view to restart with if shards are missing because targets
// dropped their index version. It returns nil if there is no reason for a restart,
// no attempt left for some shard or no view of another version.
func (r *Runner) newerView(s *scatter) *fleet.View {
	if !s.versionGone || s.gather.Answered() == s.view.Shards() || s.gather.Spent() >= s.request.Settings.MaxAttempts {
		return nil
	}
	next := r.Fleet.Plan()
	if next == nil || next.Version == s.view.Version {
		return nil
	}
	return next
}

// plan returns the view that the whole request runs on.
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
	if lost := view.Lost(); float64(view.Shards()-len(lost)) < request.MinCoverage*float64(view.Shards()) {
		r.Meter.CountDecision("RefuseKnownLost")
		refusal := coverageRefusal(coverage(view.Shards(), lost), request.MinCoverage)
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
		query:       q,
		canary:      request.Settings.Canary && !r.Poison.HasSucceeded(q),
		canaryShard: rand.IntN(max(view.Shards(), 1)),
		inbox:       inbox.New[event](),
	}
}

// conclude builds the answer or the refusal after a scatter has ended.
func (r *Runner) conclude(s *scatter, request *Request, started time.Time, restarts int) (*wire.SearchAnswer, *wire.Refusal) {
	cover := coverage(s.view.Shards(), s.gather.Missing())
	extras := s.extras()
	r.Meter.ExtraAttempts.WithLabelValues(r.Deployment, r.Service).Add(float64(extras))
	r.Meter.Primaries.WithLabelValues(r.Deployment, r.Service).Add(float64(s.gather.Attempts() - extras))
	if cover.ShardsAnswered != s.merged {
		r.Meter.CountViolation("CoverageNotMerged")
	}
	if cover.Share < request.MinCoverage {
		refusal := coverageRefusal(cover, request.MinCoverage)
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

func coverageRefusal(c wire.Coverage, minCoverage float64) *wire.Refusal {
	message := "coverage " + strconv.FormatFloat(c.Share, 'f', 4, 64) + " is below the " +
		strconv.FormatFloat(minCoverage, 'f', 4, 64) + " demanded"
	return &wire.Refusal{Kind: wire.RefusalCoverage, Message: message, Coverage: &c, RetryAfterMillis: 100}
}

// stoppingRefusal refuses a search that the daemon has no more time for. Another daemon
// can serve it, whether it ran or not.
func stoppingRefusal(ran wire.Ran) *wire.Refusal {
	refusal := &wire.Refusal{Kind: wire.RefusalNotReady, Message: "the daemon is stopping; use another one", Ran: ran}
	if ran != wire.RanNo {
		refusal.Kind = wire.RefusalUncertain
	}
	return refusal
}

func quarantineRefusal(remaining time.Duration) *wire.Refusal {
	return &wire.Refusal{
		Kind:             wire.RefusalQuarantined,
		Message:          "targets were lost while they ran this query; it is held back",
		Ran:              wire.RanNo,
		RetryAfterMillis: remaining.Milliseconds(),
	}
}
