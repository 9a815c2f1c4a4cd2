package relay

import (
	"fmt"
	"strings"
	"time"
)

// conclude returns the answer once there is one.
func (x *exchange) conclude(now time.Time, done bool) *Answer {
	switch {
	case x.schedule.assisting:
		return x.concludeAssist(now, done)
	case x.isGather():
		return x.concludeGather(now, done)
	case x.gather.Answered() > 0:
		return &Answer{Result: Passed, Reply: x.reply}
	case done || !now.Before(x.schedule.deadline):
		return x.fail(now)
	case !x.sent && now.After(x.schedule.queueUntil):
		return &Answer{Result: NotRun, Why: "all targets are at their limit", RetryAfter: retryAfterFull}
	}
	return nil
}

func (x *exchange) concludeGather(now time.Time, done bool) *Answer {
	shards, answered := len(x.poolNames), x.gather.Answered()
	enough := x.enoughAnswered()
	switch {
	case answered == shards:
		return x.merged(Gathered, "")
	case enough && done:
		return x.merged(Partial, "the other shards failed")
	case enough && !now.Before(x.schedule.partialAt) && now.Before(x.request.Arrived.Add(x.route.LatencyTarget)):
		return x.merged(Partial, "the latency target is near")
	case enough && !now.Before(x.schedule.lateAt):
		return x.merged(Partial, "the answer is late")
	case enough && !now.Before(x.schedule.deadline):
		return x.merged(Partial, "the time is up")
	case done || !now.Before(x.schedule.deadline):
		return x.fail(now)
	case float64(shards-x.gather.Failed()) < x.route.LeastCoverage*float64(shards):
		return x.fail(now)
	case !x.sent && len(x.remoteCalls) == 0 && now.After(x.schedule.queueUntil):
		return &Answer{Result: NotRun, Why: "all targets are at their limit", RetryAfter: retryAfterFull, Missing: shards}
	}
	return nil
}

// concludeAssist ends a gather for another daemon: when its answer in part goes
// out with what has come, or later while that is not enough.
func (x *exchange) concludeAssist(now time.Time, done bool) *Answer {
	enough := float64(x.gather.Answered()) >= x.route.LeastCoverage*float64(len(x.poolNames))
	soon := !now.Before(x.schedule.partialAt) && enough || !now.Before(x.schedule.lateAt)
	if done || x.gather.Answered() == len(x.poolNames) || soon {
		return &Answer{Result: Partial}
	}
	return nil
}

func (x *exchange) merged(result Result, why string) *Answer {
	return &Answer{
		Result: result, Why: why, Signatures: x.signatures, Missing: len(x.poolNames) - x.gather.Answered(),
		Outstanding: x.outstanding(), Body: x.runner.Dialect.Merge(x.route, x.bodies),
	}
}

// fail says what became of a request that has no answer. A target's own
// failure is passed on; "not run" is said only when no attempt may have run.
func (x *exchange) fail(now time.Time) *Answer {
	missing := len(x.poolNames) - x.gather.Answered()
	switch {
	case x.reply != nil && !x.isGather():
		return &Answer{Result: Passed, Reply: x.reply, Why: "the target failed"}
	case !x.outcomeUnknown && x.unsettled == 0 && x.gather.Answered() == 0 && len(x.remoteCalls) == 0:
		return &Answer{Result: NotRun, Why: "no target took the request", RetryAfter: retryAfterFull, Missing: missing}
	case !now.Before(x.schedule.deadline):
		return &Answer{Result: Expired, Why: "the time is up", Missing: missing, Outstanding: x.outstanding()}
	}
	return &Answer{Result: Broken, Why: "too few targets answered", Missing: missing, Outstanding: x.outstanding()}
}

// outstanding tells what became of the shards that have not answered, for the
// log: the pool, its phase, the targets tried, and the milliseconds since the last.
func (x *exchange) outstanding() string {
	var b strings.Builder
	listed := 0
	for _, shard := range x.gather.Missing() {
		if listed++; listed > outstandingMost {
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

// outstandingMost bounds the shards that one line of the log tells of.
const outstandingMost = 6
