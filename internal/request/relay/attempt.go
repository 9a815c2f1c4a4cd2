package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
)

// carryOut sends, cuts and waits as the gather decided.
func (x *exchange) carryOut(step *gather.Step) {
	for _, a := range step.Send {
		x.sent = true
		x.unsettled++
		if tried := x.gather.Tried(a.Shard); len(tried) > 1 {
			x.again(a, tried[len(tried)-2])
		}
		ctx, cancel := context.WithCancel(context.Background())
		x.mu.Lock()
		x.inFlight[a.ID] = &underway{shard: a.Shard, target: a.Target, cancel: cancel}
		x.mu.Unlock()
		go x.attempt(ctx, a)
	}
	for _, id := range step.Cancel {
		x.cut(id)
	}
	for _, shard := range step.Wait {
		q := fleet.Query{View: x.group.View, Shard: shard, Tried: x.gather.Tried(shard)}
		x.cancelWaits[shard] = x.group.Wait(time.Now(), q, x.route.Priority, func(shard int) {
			x.inbox.Put(event{roomFreed: true, shard: shard})
		})
	}
}

// again logs a further attempt for a shard and passes on that the last target
// is late. An attempt beyond those of the route, after one that has not run, is
// always logged.
func (x *exchange) again(a gather.Attempt, last *fleet.Target) {
	waited := time.Since(x.request.Arrived)
	used := x.gather.Used(a.Shard)
	write := x.runner.Log.Request
	if used > x.route.MaxAttempts {
		write = x.runner.Log.Failure
	}
	write(x.request.ID, "sent again", "pool", x.poolNames[a.Shard], "target", a.Target.ID,
		"after", last.ID, "attempt", used, "most", x.route.MaxAttempts,
		"waitedMillis", waited.Milliseconds(), "lateMillis", x.lateAfter(last).Milliseconds())
	if x.runner.Stalled != nil && x.group.Overdue(time.Now(), a.Shard, last) {
		x.runner.Stalled(x.poolNames[a.Shard], last, x.lateAfter(last))
	}
}

// attempt sends the request to one target and reports how that ended.
func (x *exchange) attempt(ctx context.Context, a gather.Attempt) {
	r := x.runner
	sent := time.Now()
	request := r.Dialect.Encode(x.request, a.Target, x.schedule.deadline.Sub(sent))
	sender := r.Connect(a.Target)
	send := sender.Do
	if !x.route.Idempotent {
		send = sender.DoOnce
	}
	reply, err := send(ctx, request, x.schedule.deadline)
	now := time.Now()
	judgement := Judgement{Outcome: outcomeOf(ctx, err)}
	if err == nil {
		judgement = r.Dialect.Judge(x.request, reply)
		if judgement.Outcome == fleet.Failed && !x.isGather() && reply.Status < http.StatusInternalServerError {
			// The request itself is at fault, and another target would say the same.
			judgement.Outcome = fleet.Success
		}
	}
	if judgement.Outcome == fleet.Success {
		r.Tempo.Observe(x.route.Name, a.Target.Region, now.Sub(sent))
	}
	x.group.Finish(now, a.Target, a.Shard, judgement.Outcome, now.Sub(sent).Seconds(), judgement.Load)
	x.suspect(now, a.Target, judgement.Outcome)
	x.tellLoss(a, judgement.Outcome)
	if judgement.Outcome != fleet.Success && judgement.Outcome != fleet.Cancelled {
		r.Log.Failure(x.request.ID, "attempt failed", "pool", x.poolNames[a.Shard], "target", a.Target.ID, "address", a.Target.Address,
			"outcome", judgement.Outcome, "tookMillis", now.Sub(sent).Milliseconds(), "error", err)
	}
	x.mu.Lock()
	if u := x.inFlight[a.ID]; u != nil {
		u.cancel()
		delete(x.inFlight, a.ID)
	}
	x.mu.Unlock()
	x.inbox.Put(event{
		attempt: a.ID, shard: a.Shard, target: a.Target, outcome: judgement.Outcome, reply: reply, signature: judgement.Signature,
	})
}

// tellLoss passes on that an answer was lost that can not be asked for again.
func (x *exchange) tellLoss(a gather.Attempt, outcome fleet.Outcome) {
	switch outcome {
	case fleet.Broken, fleet.Crowded, fleet.Corrupt:
		if !x.route.Idempotent && x.runner.Lost != nil {
			x.runner.Lost(x.poolNames[a.Shard], a.Target)
		}
	default:
	}
}

// suspect collects evidence that a request crashes the targets that run it: a
// connection that broke, and then a target that no longer listens.
func (x *exchange) suspect(now time.Time, t *fleet.Target, outcome fleet.Outcome) {
	r := x.runner
	switch outcome {
	case fleet.Broken, fleet.Crowded:
		r.crashes.recordBroken(now, t.ID, x.fingerprint)
	case fleet.Refused:
		fingerprint, found := r.crashes.takeSuspect(now, t.ID)
		if !found {
			return
		}
		held := r.Poison.Lost(now, poison.Query{Fingerprint: fingerprint}, poison.Loss{Target: t.ID, Domain: t.ID})
		r.Log.State("a request may have crashed its target", "target", t.ID, "fingerprint", fingerprint, "held", held)
		if r.Suspect != nil {
			r.Suspect()
		}
	case fleet.Success:
		r.crashes.forget(t.ID)
		r.Poison.Succeeded(now, poison.Query{Fingerprint: x.fingerprint})
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

// release gives up waiting and ends what is still under way.
func (x *exchange) release() {
	for _, giveUp := range x.cancelWaits {
		giveUp()
	}
	x.endFars()
	x.mu.Lock()
	left := make([]uint64, 0, len(x.inFlight))
	for id := range x.inFlight {
		left = append(left, id)
	}
	x.mu.Unlock()
	for _, id := range left {
		x.cut(id)
	}
}

// cut ends an attempt that is no longer needed, so that its target has room for
// others. The only one at a target that usually is fast goes on for a while:
// its answer tells when a pause has ended.
func (x *exchange) cut(id uint64) {
	x.mu.Lock()
	a := x.inFlight[id]
	x.mu.Unlock()
	switch {
	case a == nil:
	case x.watches(a):
		time.AfterFunc(pauseProbeTime, a.cancel)
	default:
		a.cancel()
	}
}

// watches reports whether an attempt is worth its end.
func (x *exchange) watches(a *underway) bool {
	usual := x.runner.Tempo.Usual(x.route.Name, a.target.Region, a.target.Near)
	return x.group.Alone(time.Now(), a.shard, a.target, pauseProbeFactor*usual)
}

func (x *exchange) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.inFlight {
		a.cancel()
	}
}

// underway is an attempt that has not ended.
type underway struct {
	shard  int
	target *fleet.Target
	cancel context.CancelFunc
}
