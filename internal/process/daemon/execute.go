package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tenant"
	"github.com/magnoliarelay/magnoliarelay/internal/request/check"
	"github.com/magnoliarelay/magnoliarelay/internal/request/once"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// outcomeGrace is how long after its deadline the daemon still waits for the reply to
// an order, so that a resend can return the outcome.
const outcomeGrace = 2 * time.Second

// forwarded is the message that passes a request to its home daemon.
type forwarded struct {
	Request      wire.ExecuteRequest
	RemainMillis int64
}

type forwardReply struct {
	Answer  *wire.ExecuteAnswer
	Refusal *wire.Refusal
}

// Execute runs a non-idempotent request if this daemon is its home, and
// forwards it there if not.
func (d *Daemon) Execute(ctx context.Context, arrived time.Time, request *wire.ExecuteRequest) (*wire.ExecuteAnswer, *wire.Refusal) {
	if request.Home == "" {
		return nil, &wire.Refusal{Kind: wire.RefusalHomeRequired, Message: "Home: is missing; take it from the address list", Ran: wire.RanNo}
	}
	token, err := once.ParseToken(request.Home)
	if err != nil {
		return nil, &wire.Refusal{Kind: wire.RefusalInvalid, Message: "Home: is not a token of an address list", Ran: wire.RanNo}
	}
	if token.Daemon != d.self.Name {
		return d.forward(ctx, token, request)
	}
	if token.Incarnation != d.self.Incarnation {
		return nil, outcomeUnknown("the home has been replaced")
	}
	return d.executeHere(ctx, arrived, token, request)
}

func outcomeUnknown(message string) *wire.Refusal {
	return &wire.Refusal{Kind: wire.RefusalUncertain, Message: message + "; whether the request ran is not known", Ran: wire.RanUnknown}
}

// forward passes the request to its home. If the home cannot be reached, the
// outcome is unknown, since an earlier send of the request may have run.
func (d *Daemon) forward(ctx context.Context, token once.Token, request *wire.ExecuteRequest) (*wire.ExecuteAnswer, *wire.Refusal) {
	home, found := d.Table.Find(time.Now(), token.Daemon)
	if !found || home.Incarnation > token.Incarnation || home.State == member.Gone {
		return nil, outcomeUnknown("the home is gone")
	}
	remain := min(check.Deadline(request.Deadline), time.Minute)
	body, err := codec.Encode(&forwarded{Request: *request, RemainMillis: remain.Milliseconds()})
	if err != nil {
		return nil, &wire.Refusal{Kind: wire.RefusalInternal, Message: err.Error(), Ran: wire.RanUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, remain)
	defer cancel()
	raw, err := d.link.Ask(ctx, home.Link, link.Execute, body)
	var reply forwardReply
	if err != nil || codec.Decode(raw, &reply) != nil || reply.Answer == nil && reply.Refusal == nil {
		refusal := outcomeUnknown("the home does not answer")
		refusal.RetryAfterMillis = joinInterval.Milliseconds()
		return nil, refusal
	}
	d.Meter.CountDecision("ForwardToHome")
	return reply.Answer, reply.Refusal
}

// executeForwarded answers a request that another daemon forwarded.
func (d *Daemon) executeForwarded(body []byte) []byte {
	d.forwardsInFlight.Add(1)
	defer d.forwardsInFlight.Add(-1)
	var message forwarded
	if err := codec.Decode(body, &message); err != nil {
		return nil
	}
	arrived := time.Now()
	message.Request.Deadline = (time.Duration(message.RemainMillis) * time.Millisecond).String()
	var reply forwardReply
	token, err := once.ParseToken(message.Request.Home)
	switch {
	case err != nil:
		return nil
	case token.Daemon != d.self.Name || token.Incarnation != d.self.Incarnation:
		reply.Refusal = outcomeUnknown("the home has been replaced")
	default:
		reply.Answer, reply.Refusal = d.executeHere(d.peerContext, arrived, token, &message.Request)
	}
	encoded, err := codec.Encode(&reply)
	if err != nil {
		return nil
	}
	return encoded
}

// stopForwarded ends the wait for commands that other daemons have forwarded, and returns
// their number.
func (d *Daemon) stopForwarded() int {
	d.endPeerContext(drain.ErrStopping)
	return int(d.forwardsInFlight.Load())
}

// executeHere runs a request at its home. If the request was sent before, it waits for
// the earlier run or replays its result.
func (d *Daemon) executeHere(ctx context.Context, arrived time.Time, token once.Token, request *wire.ExecuteRequest) (*wire.ExecuteAnswer, *wire.Refusal) {
	settings := d.Keeper.Current().Tree.Resolve(request.Deployment, request.Service, request.Caller)
	deadline := arrived.Add(min(check.Deadline(request.Deadline), settings.MaxDeadline))
	key := request.Deployment + "/" + request.Service + "/" + request.Caller + "/" + request.IdempotencyKey
	entry, verdict := d.home.Begin(d.uptime(), token, key, xxhash.Sum64String(request.Command))
	d.Meter.CountDecision(verdictName(verdict))
	switch verdict {
	case once.Run:
		// The run continues after its caller has gone, so that a resend gets the result.
		go d.runOnce(context.WithoutCancel(ctx), entry, request, settings, arrived, deadline)
	case once.Expired, once.WrongHome:
		return nil, &wire.Refusal{Kind: wire.RefusalHomeClosed, Message: "the home token has expired; whether the request ran is not known", Ran: wire.RanUnknown}
	case once.Closed:
		return nil, &wire.Refusal{Kind: wire.RefusalNotReady, Message: "this home is stopping and takes no new commands; use another one", Ran: wire.RanNo}
	case once.Full:
		return nil, &wire.Refusal{Kind: wire.RefusalOverloaded, Message: "this home keeps no more keys", Ran: wire.RanUnknown, RetryAfterMillis: 1000}
	case once.Mismatch:
		return nil, &wire.Refusal{Kind: wire.RefusalInvalid, Message: "IdempotencyKey: was used for another Command", Ran: wire.RanUnknown}
	case once.Wait, once.Replay:
	}
	return awaitResult(ctx, entry, request, d.self.Name, arrived, deadline, verdict != once.Run)
}

func verdictName(v once.Verdict) string {
	return [...]string{"HomeRun", "HomeWait", "HomeReplay", "HomeWrong", "HomeExpired", "HomeFull", "HomeMismatch", "HomeClosed"}[v]
}

func awaitResult(ctx context.Context, entry *once.Entry, request *wire.ExecuteRequest, name string, arrived, deadline time.Time, replayed bool) (*wire.ExecuteAnswer, *wire.Refusal) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-entry.Done:
	case <-timer.C:
		refusal := outcomeUnknown("the target has not answered in time")
		refusal.RetryAfterMillis = outcomeGrace.Milliseconds()
		return nil, refusal
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), drain.ErrStopping) {
			return nil, outcomeUnknown("the daemon is stopping")
		}
		return nil, outcomeUnknown("the caller went away")
	}
	switch entry.Result.Outcome {
	case once.Done:
		return &wire.ExecuteAnswer{
			RequestID: request.RequestID, IdempotencyKey: request.IdempotencyKey, Result: entry.Result.Text,
			Replayed: replayed, Daemon: name, LatencyMillis: float64(time.Since(arrived).Microseconds()) / 1000,
		}, nil
	case once.NotRun:
		return nil, &wire.Refusal{Kind: wire.RefusalOverloaded, Message: entry.Result.Text + "; this key will not run, use a new one", Ran: wire.RanNo, RetryAfterMillis: 100}
	default:
		return nil, outcomeUnknown(entry.Result.Text)
	}
}

// runOnce runs a request once and records its outcome.
func (d *Daemon) runOnce(ctx context.Context, entry *once.Entry, request *wire.ExecuteRequest, settings *tree.Settings, arrived, deadline time.Time) {
	t := d.findTenant(request.Deployment, request.Service)
	if t == nil {
		d.home.Finish(entry, once.Result{Outcome: once.NotRun, Text: d.unknownService(request.Deployment, request.Service).Message})
		return
	}
	leave, refusal := t.Admit(ctx, arrived, request.Caller, settings.PriorityAt(arrived), deadline, settings)
	if refusal != nil {
		d.home.Finish(entry, once.Result{Outcome: once.NotRun, Text: refusal.Message})
		return
	}
	defer leave()
	result := d.dispatch(ctx, t, request, deadline)
	d.Meter.Answers.WithLabelValues("Execute"+string(result.Outcome), request.Deployment, request.Service, settings.Class).Inc()
	d.Meter.Latency.WithLabelValues(request.Deployment, request.Service, settings.Class).Observe(time.Since(arrived).Seconds())
	d.home.Finish(entry, result)
}

// dispatch sends the order to a target. It tries the next target only if the previous
// one has certainly not run the order.
func (d *Daemon) dispatch(ctx context.Context, t *tenant.Tenant, request *wire.ExecuteRequest, deadline time.Time) once.Result {
	query := poison.Query{Fingerprint: poison.Fingerprint(request.Deployment, request.Service, "execute", request.Command)}
	if _, quarantined := d.Poison.Quarantined(time.Now(), query.Fingerprint); quarantined {
		return once.Result{Outcome: once.NotRun, Text: "targets were lost while they ran this command; it is held back"}
	}
	view := t.Fleet.Plan()
	if view == nil {
		return once.Result{Outcome: once.NotRun, Text: "no target is known to be up"}
	}
	shard := int(xxhash.Sum64String(request.IdempotencyKey) % uint64(view.Shards()))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(outcomeGrace))
	defer cancel()
	var tried []*fleet.Target
	for time.Now().Before(deadline) {
		choice := t.Fleet.Pick(time.Now(), fleet.Query{View: view, Shard: shard, Tried: tried})
		if choice.Verdict == fleet.Busy {
			sleep.For(ctx, time.Millisecond)
			continue
		}
		if choice.Verdict != fleet.Picked {
			break
		}
		tried = append(tried, choice.Target)
		sent := time.Now()
		reply, outcome := d.sendOrder(ctx, t, choice.Target, shard, request, deadline)
		switch outcome {
		case fleet.Success:
			return once.Result{Outcome: once.Done, Text: reply.Result}
		case fleet.Refused, fleet.Shed, fleet.Draining:
			continue
		case fleet.Broken:
			d.Poison.Lost(time.Now(), query, poison.Loss{Target: choice.Target.Address, Domain: choice.Target.Domain(), Sent: sent})
			d.gossip.Push()
		default:
		}
		return once.Result{Outcome: once.Unknown, Text: "the target did not answer after the request was sent"}
	}
	return once.Result{Outcome: once.NotRun, Text: "no target took the request in time"}
}

func (d *Daemon) sendOrder(ctx context.Context, t *tenant.Tenant, to *fleet.Target, shard int, request *wire.ExecuteRequest, deadline time.Time) (*wire.ExecuteReply, fleet.Outcome) {
	sent := time.Now()
	reply, outcome := t.Pool.Get(to.Address, 0).Execute(ctx, &wire.ExecuteOrder{
		Service: request.Service,
		// The prefix makes the key unique over all callers, since each caller chooses its
		// own keys.
		Key:                request.Caller + "/" + request.IdempotencyKey,
		Command:            request.Command,
		NotAfterUnixMillis: deadline.UnixMilli(),
	})
	now := time.Now()
	recorded := outcome
	if outcome == fleet.Success {
		// The latency of an order is not recorded, since it does not predict that of a
		// search.
		recorded = fleet.Gone
	}
	t.Fleet.Finish(now, to, shard, recorded, now.Sub(sent).Seconds(), nil)
	return reply, outcome
}
