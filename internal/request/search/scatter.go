package search

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
	"github.com/magnoliarelay/magnoliarelay/internal/request/inbox"
	"github.com/magnoliarelay/magnoliarelay/internal/request/merge"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// event is the end of an attempt or, if roomFreed is set, room at a target of a
// waiting shard.
type event struct {
	roomFreed bool
	shard     int
	attempt   uint64
	target    *fleet.Target
	sent      time.Time
	outcome   fleet.Outcome
	reply     *wire.ShardReply
}

// scatter is one run of a request over the shards of one index version.
type scatter struct {
	runner      *Runner
	request     *Request
	view        *fleet.View
	body        []byte
	encodeErr   error
	query       poison.Query
	canary      bool
	canaryShard int
	// spent is the number of attempts for each shard before a restart.
	spent int

	gather         *gather.Gather
	merge          *merge.Merge
	inbox          *inbox.Inbox[event]
	attemptCancels []context.CancelFunc
	waitCancels    map[int]func()
	merged         int
	versionGone    bool
}

// run drives the gather until it is done. A refusal ends the whole request.
func (s *scatter) run(ctx context.Context) *wire.Refusal {
	if s.encodeErr != nil {
		return &wire.Refusal{Kind: wire.RefusalInternal, Message: s.encodeErr.Error()}
	}
	deadline, _ := ctx.Deadline()
	s.merge = merge.New(s.request.Limit, s.request.All)
	s.waitCancels = map[int]func(){}
	s.gather = gather.New(gather.Config{
		View: s.view, Targets: s.runner.Fleet, HedgeBudget: s.runner.HedgeBudget, RetryBudget: s.runner.RetryBudget,
		Settings: s.request.Settings, Deadline: deadline, Canary: s.canary, CanaryShard: s.canaryShard, Spent: s.spent,
	})
	defer s.cancelWaits()
	defer s.cancelAll()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	step := s.gather.Begin(time.Now())
	for {
		s.apply(ctx, step)
		if step.Done || s.coverageUnreachable() {
			return nil
		}
		timer.Reset(time.Until(step.NextTick))
		select {
		case <-s.inbox.Signal:
			events = s.inbox.Take(events)
			next, refusal := s.handle(ctx, events)
			if refusal != nil {
				return refusal
			}
			step = next
		case <-timer.C:
			step = s.gather.Tick(time.Now())
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), drain.ErrStopping) {
				// The caller gets what the shards have answered so far.
				return nil
			}
			if context.Cause(ctx) == context.Canceled {
				return &wire.Refusal{Kind: wire.RefusalCancelled, Message: "the caller went away"}
			}
			step = s.gather.Tick(time.Now())
		}
	}
}

// coverageUnreachable reports whether so many shards have failed that the minimum
// coverage cannot be reached, so that waiting for the others is of no use. It
// returns false if targets dropped the index version, since a restart may still
// reach the coverage.
func (s *scatter) coverageUnreachable() bool {
	shards := float64(s.view.Shards())
	return !s.versionGone && shards-float64(s.gather.Failed()) < s.request.MinCoverage*shards
}

// handle processes the events in order. It applies all steps but the last, which it
// returns.
func (s *scatter) handle(ctx context.Context, events []event) (*gather.Step, *wire.Refusal) {
	var step *gather.Step
	for i := range events {
		if step != nil {
			s.apply(ctx, step)
		}
		now := time.Now()
		e := &events[i]
		if e.roomFreed {
			delete(s.waitCancels, e.shard)
			step = s.gather.Freed(now, e.shard)
			continue
		}
		if refusal := s.handleFailure(now, e); refusal != nil {
			return nil, refusal
		}
		step = s.gather.Ended(now, e.attempt, e.outcome)
		if e.outcome == fleet.Success {
			s.mergeReply(now, e)
		}
	}
	if step == nil {
		step = s.gather.Tick(time.Now())
	}
	return step, nil
}

// handleFailure updates the fleet and the poison register after a failed attempt.
// It returns a refusal if the query is now quarantined.
func (s *scatter) handleFailure(now time.Time, e *event) *wire.Refusal {
	switch e.outcome {
	case fleet.Gone:
		s.versionGone = true
		s.runner.Fleet.Forget(e.target, s.view.Version)
	case fleet.Broken:
		loss := poison.Loss{Target: e.target.Address, Domain: e.target.Domain(), Sent: e.sent}
		quarantined := s.runner.Poison.Lost(now, s.query, loss)
		s.runner.OnTargetLost()
		if quarantined {
			s.runner.Meter.CountDecision("Quarantine")
			remaining, _ := s.runner.Poison.Quarantined(now, s.query.Fingerprint)
			return quarantineRefusal(remaining)
		}
	default:
	}
	return nil
}

// mergeReply merges a reply unless its shard has answered before.
func (s *scatter) mergeReply(now time.Time, e *event) {
	if s.gather.Answered() == s.merged {
		return
	}
	s.merged++
	if s.merged == 1 {
		s.runner.Poison.Succeeded(now, s.query)
	}
	if e.reply.Echo.Version != s.view.Version || e.reply.Echo.Request != s.request.ID {
		s.runner.Meter.CountViolation("MixedReply")
	}
	s.merge.Add(e.reply.Hits, e.reply.More)
}

func (s *scatter) apply(ctx context.Context, step *gather.Step) {
	now := time.Now()
	for _, a := range step.Send {
		attemptCtx, cancel := context.WithCancel(ctx)
		s.attemptCancels = append(s.attemptCancels, cancel)
		go s.runAttempt(attemptCtx, a, now)
	}
	for _, id := range step.Cancel {
		s.attemptCancels[id]()
	}
	for _, shard := range step.AwaitRoom {
		q := fleet.Query{View: s.view, Shard: shard, Tried: s.gather.Tried(shard)}
		s.waitCancels[shard] = s.runner.Fleet.Wait(time.Now(), q, s.request.Priority, func(shard int) {
			s.inbox.Put(event{roomFreed: true, shard: shard})
		})
	}
}

// runAttempt sends an attempt. All attempts of one step count as sent when it was decided,
// though a goroutine may start after another one has ended.
func (s *scatter) runAttempt(ctx context.Context, a gather.Attempt, decided time.Time) {
	client := s.runner.Pool.Get(a.Target.Address, s.request.Settings.SpareConnections)
	echo := wire.Echo{Request: s.request.ID, Attempt: a.ID, Shard: a.Shard, Version: s.view.Version}
	sent := time.Now()
	deadline, _ := ctx.Deadline()
	reply, outcome := client.Search(ctx, &echo, s.body, deadline.Sub(sent))
	now := time.Now()
	var load *wire.Load
	if reply != nil {
		load = &reply.Load
	}
	s.runner.Fleet.Finish(now, a.Target, a.Shard, outcome, now.Sub(sent).Seconds(), load)
	s.runner.Meter.Outcomes.WithLabelValues(string(outcome)).Inc()
	s.inbox.Put(event{attempt: a.ID, shard: a.Shard, target: a.Target, sent: decided, outcome: outcome, reply: reply})
}

func (s *scatter) cancelAll() {
	for _, cancel := range s.attemptCancels {
		cancel()
	}
}

func (s *scatter) cancelWaits() {
	for _, cancel := range s.waitCancels {
		cancel()
	}
}

// ran reports whether any target has or may have run the request.
func (s *scatter) ran() wire.Ran {
	if s.spent == 0 && (s.gather == nil || s.gather.Attempts() == 0) {
		return wire.RanNo
	}
	if s.merged > 0 {
		return wire.RanYes
	}
	return wire.RanUnknown
}

// extras returns the number of attempts beyond the first of each shard.
func (s *scatter) extras() int { return s.gather.Attempts() - s.gather.Sent() }
