package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/crash"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
)

// apply carries out a step: it sends attempts, cancels others and waits for
// room.
func (x *exchange) apply(step *gather.Step) {
	if _, quarantined := x.runner.Poison.Quarantined(time.Now(), x.fingerprint); quarantined {
		x.withhold(step)
	}
	for _, a := range step.Send {
		x.sent = true
		x.unsettled++
		if tried := x.gather.Tried(a.Shard); len(tried) > 1 {
			x.reportResend(a, tried[len(tried)-2])
		}
		ctx, cancel := context.WithCancel(room.With(context.Background(), x.claim))
		x.mu.Lock()
		x.inFlight[a.ID] = &inFlightAttempt{shard: a.Shard, target: a.Target, sent: time.Now(), cancel: cancel}
		x.mu.Unlock()
		if !x.route.Idempotent {
			x.noticeAt = time.Now().Add(x.lateAfter(a.Target))
		}
		go x.runAttempt(ctx, a)
	}
	for _, id := range step.Cancel {
		x.cancelAttempt(id)
	}
	for _, shard := range step.AwaitRoom {
		q := fleet.Query{View: x.group.View, Shard: shard, Tried: x.gather.Tried(shard)}
		x.cancelWaits[shard] = x.group.Wait(time.Now(), q, x.route.Priority, func(shard int) {
			x.inbox.Put(event{roomFreed: true, shard: shard})
		})
	}
}

// withhold takes the attempts of a quarantined request off a step.
func (x *exchange) withhold(step *gather.Step) {
	x.withheld = x.withheld || len(step.Send) > 0
	for _, a := range step.Send {
		x.group.Finish(time.Now(), a.Target, a.Shard, fleet.Withheld, 0, nil)
	}
	step.Send = step.Send[:0]
}

// reportResend logs a further attempt for a shard, and reports the previous target
// if it is overdue. An attempt beyond the route's maximum, which may follow one
// that has not run, is always logged.
func (x *exchange) reportResend(a gather.Attempt, previous *fleet.Target) {
	waited := time.Since(x.request.Arrived)
	used := x.gather.ShardAttempts(a.Shard)
	log := x.runner.Log.Request
	if used > x.route.MaxAttempts {
		log = x.runner.Log.Failure
	}
	log(x.request.ID, "sent again", "pool", x.poolNames[a.Shard], "target", a.Target.ID,
		"after", previous.ID, "attempt", used, "most", x.route.MaxAttempts,
		"waitedMillis", waited.Milliseconds(), "lateMillis", x.lateAfter(previous).Milliseconds())
	if x.runner.OnStalledTarget != nil && x.group.Overdue(time.Now(), a.Shard, previous) {
		x.runner.OnStalledTarget(x.poolNames[a.Shard], previous, x.lateAfter(previous))
	}
}

// reportWait reports the target of an attempt that can't be made again once it is
// late, and again each time that its wait has doubled.
func (x *exchange) reportWait(now time.Time) {
	if x.noticeAt.IsZero() || now.Before(x.noticeAt) {
		return
	}
	x.noticeAt = time.Time{}
	x.mu.Lock()
	waiting := slices.Collect(maps.Values(x.inFlight))
	x.mu.Unlock()
	for _, a := range waiting {
		waited := now.Sub(a.sent)
		x.noticeAt = now.Add(waited)
		if x.runner.OnStalledTarget != nil {
			x.runner.OnStalledTarget(x.poolNames[a.shard], a.target, waited)
		}
	}
}

// runAttempt sends the request to one target and reports the outcome.
func (x *exchange) runAttempt(ctx context.Context, a gather.Attempt) {
	r := x.runner
	sent := time.Now()
	request := r.Dialect.Encode(x.request, a.Target, x.schedule.deadline.Sub(sent))
	sender := r.Connect(a.Target)
	send := sender.Do
	if !x.route.Idempotent {
		send = sender.DoOnce
	}
	trace := crash.Attempt{ID: r.attemptIDs.Add(1), Fingerprint: x.fingerprint, Sent: sent}
	r.crashes.Sent(sent, a.Target.BootID(), trace)
	reply, err := send(ctx, request, x.schedule.deadline)
	now := time.Now()
	classification := Classification{Outcome: outcomeOf(ctx, err)}
	if err == nil {
		classification = r.Dialect.Classify(x.request, reply)
	}
	// A reply of 4xx may come without the request having run, so it is no proof that the
	// request is harmless.
	evidence := classification.Outcome
	if err == nil && classification.Outcome == fleet.Failed && !x.isGather() && reply.Status < http.StatusInternalServerError {
		// The request is at fault, so another target would reply the same.
		classification.Outcome = fleet.Success
	}
	if classification.Outcome == fleet.Success {
		r.ResponseTimes.Observe(x.route.Name, a.Target.Region, now.Sub(sent))
	}
	x.group.RecordStatement(now, a.Target, a.Shard, fleet.Statement{
		Request: x.request.ID, Leaving: classification.Leaving, Pause: classification.Pause, InvalidPause: classification.InvalidPause,
		Limit: classification.Limit, InvalidLimit: classification.InvalidLimit, Sent: sent, Answered: evidence == fleet.Success || evidence == fleet.Failed && err == nil,
	})
	x.group.Finish(now, a.Target, a.Shard, classification.Outcome, now.Sub(sent).Seconds(), classification.Load)
	r.trackCrash(now, a.Target, sender, trace, evidence, err)
	x.reportLostAnswer(a, classification.Outcome)
	switch classification.Outcome {
	case fleet.Success, fleet.Cancelled, fleet.Withheld:
	default:
		r.Log.Failure(x.request.ID, "attempt failed", "pool", x.poolNames[a.Shard], "target", a.Target.ID, "address", a.Target.Address,
			"outcome", classification.Outcome, "tookMillis", now.Sub(sent).Milliseconds(), "fingerprint", x.fingerprint, "registered", a.Target.Registered().Revision, "registeredEra", a.Target.Registered().Era, "born", a.Target.Born(), "error", err)
	}
	x.mu.Lock()
	if u := x.inFlight[a.ID]; u != nil {
		u.cancel()
		delete(x.inFlight, a.ID)
	}
	x.mu.Unlock()
	x.inbox.Put(event{
		attempt: a.ID, shard: a.Shard, target: a.Target, outcome: classification.Outcome, reply: reply, signature: classification.Signature,
	})
}

// reportLostAnswer reports a lost answer to a request that must not be sent
// again.
func (x *exchange) reportLostAnswer(a gather.Attempt, outcome fleet.Outcome) {
	switch outcome {
	case fleet.Broken, fleet.Crowded, fleet.Corrupt:
		if !x.route.Idempotent && x.runner.OnLostAnswer != nil {
			x.runner.OnLostAnswer(x.poolNames[a.Shard], a.Target)
		}
	default:
	}
}

func outcomeOf(ctx context.Context, err error) fleet.Outcome {
	if err == nil {
		return fleet.Success
	}
	var e *http1.Error
	if !errors.As(err, &e) {
		return fleet.Failed
	}
	switch {
	case e.Kind == http1.KindWithheld:
		return fleet.Withheld
	case ctx.Err() != nil:
		return fleet.Cancelled
	case e.Kind == http1.KindNotSent:
		return fleet.Refused
	case e.Kind == http1.KindReset:
		return fleet.Crowded
	case e.Kind == http1.KindExpired:
		return fleet.Expired
	case e.Kind == http1.KindCorrupt:
		return fleet.Corrupt
	}
	return fleet.Broken
}

// release stops waiting for room and cancels what is still in flight.
func (x *exchange) release() {
	for _, cancel := range x.cancelWaits {
		cancel()
	}
	x.cancelRemote()
	x.mu.Lock()
	ids := make([]uint64, 0, len(x.inFlight))
	for id := range x.inFlight {
		ids = append(ids, id)
	}
	x.mu.Unlock()
	for _, id := range ids {
		x.cancelAttempt(id)
	}
}

// cancelAttempt cancels an attempt that is no longer needed, so that its target
// has room for others. The only attempt at a usually fast target goes on for a
// while, since its reply shows when a pause has ended.
func (x *exchange) cancelAttempt(id uint64) {
	x.mu.Lock()
	a := x.inFlight[id]
	x.mu.Unlock()
	switch {
	case a == nil:
	case x.probesPause(a):
		time.AfterFunc(pauseProbeTime, a.cancel)
	default:
		a.cancel()
	}
}

// probesPause reports whether an attempt should go on to show when its target's
// pause ends. One with a long body does not, since nobody claims memory for it any more.
func (x *exchange) probesPause(a *inFlightAttempt) bool {
	if len(x.request.Body) > room.SmallBytes {
		return false
	}
	usual := x.runner.ResponseTimes.Median(x.route.Name, a.target.Region, a.target.Local)
	return x.group.OnlyAttempt(time.Now(), a.shard, a.target, pauseProbeFactor*usual)
}

func (x *exchange) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.inFlight {
		a.cancel()
	}
}

// inFlightAttempt is an attempt that has not ended.
type inFlightAttempt struct {
	shard  int
	target *fleet.Target
	sent   time.Time
	cancel context.CancelFunc
}
