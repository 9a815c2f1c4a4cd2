package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
)

// ReasonStopping is the reason of an answer that a stop of the daemon leaves no time for.
const ReasonStopping = "the daemon is stopping"

// reasonQuarantined is the reason of an answer to a request that is quarantined.
const reasonQuarantined = "the request is held back: targets crashed while they ran it"

// tryAnswer returns the answer, or nil while there is none yet.
func (x *exchange) tryAnswer(now time.Time, done bool) *Answer {
	switch {
	case x.schedule.assisting:
		return x.tryAssistAnswer(now, done)
	case x.isGather():
		return x.tryGatherAnswer(now, done)
	case x.gather.Answered() > 0:
		return &Answer{Result: Passed, Reply: x.reply, Target: x.repliedBy}
	case done || !now.Before(x.schedule.deadline):
		return x.failureAnswer(now)
	case !x.sent && now.After(x.schedule.queueUntil):
		return &Answer{Result: NotRun, Reason: "all targets are at their limit", RetryAfter: retryAfterFull}
	}
	return nil
}

func (x *exchange) tryGatherAnswer(now time.Time, done bool) *Answer {
	shards, answered := len(x.poolNames), x.gather.Answered()
	enough := x.enoughAnswered()
	switch {
	case answered == shards:
		return x.mergedAnswer(Gathered, "")
	case enough && done:
		return x.mergedAnswer(Partial, "the other shards failed")
	case enough && !now.Before(x.schedule.partialAt) && now.Before(x.request.Arrived.Add(x.route.LatencyTarget)):
		return x.mergedAnswer(Partial, "the latency target is near")
	case enough && !now.Before(x.schedule.lateAt):
		return x.mergedAnswer(Partial, "the answer is late")
	case enough && !now.Before(x.schedule.deadline):
		return x.mergedAnswer(Partial, "the time is up")
	case done || !now.Before(x.schedule.deadline):
		return x.failureAnswer(now)
	case float64(shards-x.gather.Failed()) < x.route.LeastCoverage*float64(shards):
		return x.failureAnswer(now)
	case !x.sent && len(x.remoteCalls) == 0 && now.After(x.schedule.queueUntil):
		return &Answer{Result: NotRun, Reason: "all targets are at their limit", RetryAfter: retryAfterFull, Missing: shards}
	}
	return nil
}

// tryAssistAnswer ends a gather for another daemon when each shard has answered or
// failed, at partialAt if enough shards have answered, and at lateAt in any case.
func (x *exchange) tryAssistAnswer(now time.Time, done bool) *Answer {
	enough := float64(x.gather.Answered()) >= x.route.LeastCoverage*float64(len(x.poolNames))
	due := !now.Before(x.schedule.partialAt) && enough || !now.Before(x.schedule.lateAt)
	if done || x.gather.Answered() == len(x.poolNames) || due {
		return &Answer{Result: Partial}
	}
	return nil
}

// quarantineAnswer ends a request that has been quarantined since it began: what is in
// flight is cancelled, and nothing is sent any more. It returns nil for any other.
func (x *exchange) quarantineAnswer(now time.Time) *Answer {
	remaining, quarantined := x.runner.Poison.Quarantined(now, x.fingerprint)
	switch {
	case !quarantined && !x.withheld:
		return nil
	case x.schedule.assisting:
		return &Answer{Result: Partial}
	case x.isGather() && x.enoughAnswered():
		return x.mergedAnswer(Partial, reasonQuarantined)
	}
	answer := x.failureAnswer(now)
	if answer.Result == Passed {
		return answer
	}
	answer.Reason = reasonQuarantined
	if answer.Result == NotRun {
		answer.RetryAfter = max(remaining, retryAfterFull)
	}
	return answer
}

func (x *exchange) mergedAnswer(result Result, why string) *Answer {
	return &Answer{
		Result: result, Reason: why, Signatures: x.signatures, Missing: len(x.poolNames) - x.gather.Answered(),
		Outstanding: x.describeOutstanding(), Body: x.runner.Dialect.Merge(x.route, x.bodies),
	}
}

// failureAnswer answers a request that failed. It passes on a target's own
// failure, and says NotRun only if no attempt can have run.
func (x *exchange) failureAnswer(now time.Time) *Answer {
	missing := len(x.poolNames) - x.gather.Answered()
	switch {
	case x.reply != nil && !x.isGather():
		return &Answer{Result: Passed, Reply: x.reply, Target: x.repliedBy, Reason: "the target failed"}
	case !x.outcomeUnknown && x.unsettled == 0 && x.gather.Answered() == 0 && len(x.remoteCalls) == 0:
		return &Answer{Result: NotRun, Reason: "no target took the request", RetryAfter: x.retryAfter(now, retryAfterFull), Missing: missing}
	case !now.Before(x.schedule.deadline):
		return &Answer{Result: Expired, Reason: "the time is up", Missing: missing, Outstanding: x.describeOutstanding()}
	}
	return &Answer{Result: Broken, Reason: "too few targets answered", Missing: missing, Outstanding: x.describeOutstanding()}
}

// interruptedAnswer answers a request whose context has ended: the caller has
// disconnected, or the daemon stops and has no more time for the request. Buffer is a
// buffer for events.
func (x *exchange) interruptedAnswer(ctx context.Context, buffer []event) *Answer {
	if !errors.Is(context.Cause(ctx), drain.ErrStopping) {
		return &Answer{Result: CallerLeft, Reason: "the caller went away"}
	}
	// A reply may have arrived at the same moment.
	if events := x.inbox.Take(buffer); len(events) > 0 {
		if answer := x.tryAnswer(time.Now(), x.handle(events).Done); answer != nil {
			return answer
		}
	}
	if x.isGather() && x.enoughAnswered() {
		return x.mergedAnswer(Partial, ReasonStopping)
	}
	answer := x.failureAnswer(time.Now())
	if answer.Result != Passed {
		answer.Reason = ReasonStopping
	}
	return answer
}

// describeOutstanding describes the shards that have not answered, for the log:
// the pool, its phase, the targets tried, and the milliseconds since the last
// attempt.
func (x *exchange) describeOutstanding() string {
	var b strings.Builder
	listed := 0
	for _, shard := range x.gather.Missing() {
		if listed++; listed > maxOutstandingListed {
			b.WriteString(" ...")
			break
		}
		if listed > 1 {
			b.WriteByte(' ')
		}
		b.WriteString(x.poolNames[shard] + ":" + x.gather.Phase(shard))
		for _, t := range x.gather.Tried(shard) {
			b.WriteString("," + t.ID)
		}
		if sent := x.gather.SentAt(shard); !sent.IsZero() {
			fmt.Fprintf(&b, "@%d", time.Since(sent).Milliseconds())
		}
	}
	return b.String()
}

// maxOutstandingListed bounds the shards that one log line lists.
const maxOutstandingListed = 6
