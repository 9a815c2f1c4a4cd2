package fleet

import (
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// lowPriorityOffset is added to the priority of low-priority requests, so that
// they rank behind all others; priorities of routes are smaller.
const lowPriorityOffset = 1 << 16

// Group presents the pools of one route as the shards of one request: shard i
// is the i-th fleet. It picks targets in the same way as a single fleet.
type Group struct {
	// View holds the targets of each shard at the time of NewGroup.
	View *View
	// LateAfter returns how long after its send an attempt at a target counts
	// as late.
	LateAfter func(t *Target) time.Duration
	// Rank is the rank of the request, where 0 is the highest.
	Rank int
	// Draw is the Draw of the request's queries.
	Draw float64
	// Granted, if set, returns the target of a shard for which another daemon has taken a
	// token, or an empty string.
	Granted func(shard int) string
	// LostAnswerCost is the time that a lost answer is assumed to cost.
	LostAnswerCost time.Duration
	// RetryCost, if set, returns the time that a retry for a shard is assumed to cost
	// beyond the time until it is sent. It is called only if a target of the shard has
	// rejected a request although it had room.
	RetryCost func(now time.Time, shard int) time.Duration
	// UsefulUntil, if set, returns the time after which an answer is useless;
	// zero means that it stays useful.
	UsefulUntil func(now time.Time) time.Time
	// LowPriority, if set, reports whether the request leaves busy targets to other
	// requests.
	LowPriority func(now time.Time) bool

	fleets []*Fleet
}

// NewGroup returns the group of the fleets with their current targets. A nil
// fleet is a pool without targets.
func NewGroup(fleets []*Fleet) *Group {
	g := &Group{View: &View{Version: registeredVersion, Replicas: make([][]*Target, len(fleets))}, fleets: fleets}
	for i, f := range fleets {
		if f == nil {
			continue
		}
		if plan := f.Plan(); plan != nil {
			g.View.Replicas[i] = plan.Replicas[0]
		}
	}
	return g
}

// Pick chooses a target for a shard and counts the attempt as in flight.
func (g *Group) Pick(now time.Time, q Query) Choice {
	if g.fleets[q.Shard] == nil {
		return Choice{Verdict: Lost}
	}
	g.addGroupOptions(now, &q)
	return g.fleets[q.Shard].Pick(now, q)
}

// addGroupOptions sets the fields of a query that are the same for the whole
// request.
func (g *Group) addGroupOptions(now time.Time, q *Query) {
	q.LateAfter, q.LostAnswerCost, q.Draw = g.LateAfter, g.LostAnswerCost, g.Draw
	if g.RetryCost != nil && g.fleets[q.Shard].hasRejected.Load() {
		q.RetryCost = g.RetryCost(now, q.Shard)
	}
	if g.Granted != nil && len(q.Tried) == 0 {
		q.Granted = g.Granted(q.Shard)
	}
	q.LowPriority = g.LowPriority != nil && g.LowPriority(now)
	if g.UsefulUntil != nil {
		q.UsefulUntil = g.UsefulUntil(now)
	}
}

// Wait registers wake to be called when a target of the shard has room.
// Low-priority requests are woken after all others.
func (g *Group) Wait(now time.Time, q Query, priority int, wake func(shard int)) (cancel func()) {
	f := g.fleets[q.Shard]
	shard := q.Shard
	if g.addGroupOptions(now, &q); q.LowPriority {
		priority += lowPriorityOffset
	}
	// The fleet of a pool has a single shard.
	q.View = &View{Version: q.View.Version, Replicas: g.View.Replicas[shard : shard+1]}
	q.Shard = 0
	return f.Wait(now, q, priority, func(int) { wake(shard) })
}

// Finish records the end of an attempt. Latency is in seconds; load is nil when
// the reply did not contain it.
func (g *Group) Finish(now time.Time, t *Target, shard int, outcome Outcome, latency float64, load *wire.Load) {
	g.fleets[shard].Finish(now, t, 0, outcome, latency, load)
}

// RecordStatement records what a target's reply to an attempt for the shard says of the target.
func (g *Group) RecordStatement(now time.Time, t *Target, shard int, s Statement) {
	g.fleets[shard].RecordStatement(now, t, s)
}

// ResumesIn returns the time until so many shards have an available target, if pauses
// that targets have asked for and limits that they have named are all that they lack.
func (g *Group) ResumesIn(now time.Time, shards int) (in time.Duration, ok bool) {
	shards -= g.AvailableShards(now)
	var ends []time.Duration
	for i, f := range g.fleets {
		if f == nil || f.hasAvailable(now, g.View.Replicas[i], g.Draw, g.Rank) {
			continue
		}
		if at, ok := f.resumesAt(now, g.View.Replicas[i]); ok {
			ends = append(ends, at.Sub(now))
		}
	}
	if shards <= 0 || shards > len(ends) {
		return 0, false
	}
	slices.Sort(ends)
	return ends[shards-1], true
}

// RetryAfter returns when a caller may retry that needs so many shards, if pauses and limits
// are all that they lack: when ResumesIn says, and a random time after it, so that callers which
// are refused together don't come back together.
func (g *Group) RetryAfter(now time.Time, shards int) (after time.Duration, ok bool) {
	in, ok := g.ResumesIn(now, shards)
	if !ok {
		return 0, false
	}
	spread := min(max(in/retrySpreadDivisor, minRetrySpread), maxRetrySpread)
	f := g.fleets[slices.IndexFunc(g.fleets, func(f *Fleet) bool { return f != nil })]
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	return in + time.Duration(f.random.Int64N(int64(spread))), true
}

// HedgeDelay returns a constant. A gather over a group sets its own Delay for
// each shard instead, since the shards of a group differ.
func (g *Group) HedgeDelay(time.Time, float64) time.Duration { return initialDelay }

// Slowness returns 1, for the same reason as HedgeDelay.
func (g *Group) Slowness(int) float64 { return 1 }

// Grant takes tokens for the requests that a daemon of the region sends on behalf of this
// one. It returns the shards that have a target there, and for each the target that takes
// the request by this daemon's token, or an empty string.
func (g *Group) Grant(now time.Time, shards []int, region string) (granted []int, targets []string) {
	for _, shard := range shards {
		if id, ok := g.fleets[shard].Grant(now, g.View.Replicas[shard], region, g.Draw); ok {
			granted = append(granted, shard)
			targets = append(targets, id)
		}
	}
	return granted, targets
}

// AvailableShards returns the number of shards that have an available target whose limit
// allows a request of this rank.
func (g *Group) AvailableShards(now time.Time) int {
	up := 0
	for i, f := range g.fleets {
		if f != nil && f.hasAvailable(now, g.View.Replicas[i], g.Draw, g.Rank) {
			up++
		}
	}
	return up
}

func (f *Fleet) hasAvailable(now time.Time, replicas []*Target, draw float64, rank int) bool {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	return f.admits(now, replicas, draw, rank)
}

// RemoteRegions returns the regions whose targets can serve a shard while no
// target in the daemon's own region can, because there is none or each of them
// is down or late. The result remote is false when a target in the
// daemon's own region can serve or none can.
func (g *Group) RemoteRegions(now time.Time, shard int) (regions []string, remote bool) {
	f := g.fleets[shard]
	if f == nil {
		return nil, false
	}
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	replicas := g.View.Replicas[shard]
	for i, t := range replicas {
		switch {
		case !t.available(now) || t.overdue(now) || t.selfReport.leaving():
		case !f.withinLimit(now, t, drawPosition(g.Draw, i, len(replicas)), false):
		case t.Local:
			return nil, false
		case !slices.Contains(regions, t.Region):
			regions = append(regions, t.Region)
		}
	}
	return regions, len(regions) > 0
}

// TargetIn returns a target of the shard in the given region, or nil.
func (g *Group) TargetIn(shard int, region string) *Target {
	for _, t := range g.View.Replicas[shard] {
		if t.Region == region {
			return t
		}
	}
	return nil
}

// Overdue reports whether a target of the shard is probably in a pause.
func (g *Group) Overdue(now time.Time, shard int, t *Target) bool {
	f := g.fleets[shard]
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	return t.overdue(now)
}

// OnlyAttempt reports whether this daemon has a single attempt in flight at a
// target that usually answers within the given time.
func (g *Group) OnlyAttempt(now time.Time, shard int, t *Target, within time.Duration) bool {
	f := g.fleets[shard]
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	return t.inFlight == 1 && t.responses.typicalLatency(now) <= within
}
