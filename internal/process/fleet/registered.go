package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// farPenalty is added to the latency of a target in another region, since
	// bytes between regions cost more than some milliseconds at one shard of
	// many are worth.
	farPenalty = 30 * time.Millisecond
	// stallPenalty is about how long a pause lasts; a target that is overdue is
	// expected back by then.
	stallPenalty = 250 * time.Millisecond
	// minDownTime and downMost bound the time for which a target that refuses
	// connections is left alone.
	minDownTime = 250 * time.Millisecond
	maxDownTime = 2 * time.Second
	// minFullTime is how long a target that turned a request away gets no other:
	// its queue moves by some requests meanwhile. It doubles up to fullMost while
	// the target goes on to turn all away.
	minFullTime = 60 * time.Millisecond
	maxFullTime = 500 * time.Millisecond
	// crowdedTime is how long no further connection is opened to a target that
	// reset one. Connections that a lost daemon left behind time out there within
	// a few seconds.
	crowdedTime = time.Second
	// lossRiskHalfLife is the time in which the risk that a target loses an answer,
	// which is certain once it has lost one, is taken to halve.
	lossRiskHalfLife = 4 * time.Second
	// loadMaxAge is how long a target's word on its load is believed: its queue
	// moves by some requests meanwhile.
	loadMaxAge = 150 * time.Millisecond
	// slowerFactor is how many times longer than the wait for room at one target
	// an answer of another may take to be preferred to it.
	slowerFactor = 6
	// slowerMargin is added to that: a target in another region is no worse.
	slowerMargin = 60 * time.Millisecond
	// pauseFactor is how many times longer than usual an answer took that a
	// pause held up.
	pauseFactor = 2
	// unusedConnectionShare is the part of a target's connections that daemons leave free,
	// since their views of how many share it differ for a while.
	unusedConnectionShare = 0.1
	// registeredVersion and registeredShards make a pool a one-shard service.
	registeredVersion = 1
	registeredShards  = 1
)

// SetEntries takes the registrations of the pool. Targets that are no longer
// registered are forgotten; one that started anew begins with a clean record.
// It returns the IDs of targets that went away.
func (f *Fleet) SetEntries(now time.Time, entries []roster.Entry, regionOf func(dataCentre string) string) (gone []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for i := range entries {
		e := &entries[i]
		listed[e.ID] = true
		t := f.targets[e.ID]
		if t == nil || t.born != e.Born || t.Address != e.Address {
			if t != nil {
				t.state = StateLeaving
				gone = append(gone, t.ID)
			}
			t = f.newRegistered(now, e, regionOf(e.DataCentre))
			f.targets[e.ID] = t
			f.viewsStale = true
		}
		t.slots = max(e.Slots, 1)
		f.applyEntry(t, e)
	}
	for id, t := range f.targets {
		if !listed[id] {
			t.state = StateLeaving
			delete(f.targets, id)
			gone = append(gone, id)
			f.viewsStale = true
		}
	}
	f.order = f.order[:0]
	for _, t := range f.targets {
		f.order = append(f.order, t)
	}
	slices.SortFunc(f.order, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	return gone
}

func (f *Fleet) newRegistered(now time.Time, e *roster.Entry, region string) *Target {
	t := &Target{
		ID: e.ID, Address: e.Address, Region: region, DataCentre: e.DataCentre, Rack: e.ID,
		Near: region == f.config.Region, registered: true, born: e.Born, lastSeen: now, limit: 1,
		indexes: []wire.Index{{
			Service: f.config.Service, Version: registeredVersion, ShardCount: registeredShards, Shards: []int{0},
		}},
	}
	t.cycle.Beat = f.config.Beat
	t.responses.initial = farInitialLatency
	if t.Near {
		t.responses.initial = nearInitialLatency
	}
	return t
}

// applyEntry takes a registration that is newer than the last. An old one says
// nothing against what the target itself has told since.
func (f *Fleet) applyEntry(t *Target, e *roster.Entry) {
	if e.Revision <= t.revision {
		return
	}
	t.revision = e.Revision
	if e.Leaving {
		f.setState(t, StateLeaving)
		return
	}
	f.setState(t, StateReady)
}

// SetConnections tells how many connections each target takes from all daemons.
func (f *Fleet) SetConnections(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.order {
		if t.connections != count {
			t.connections = count
			f.viewsStale = true
		}
	}
}

// SetNear tells how many of the live daemons are in this daemon's region.
func (f *Fleet) SetNear(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nearDaemons = count
}

// Stalled takes another daemon's word that a target has not answered for some time.
func (f *Fleet) Stalled(now time.Time, id string, since time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return
	}
	at := now.Add(-since)
	// What this daemon has heard itself since then goes before what others say.
	if t.responses.lastReply.Before(at) {
		t.peerUnansweredSince = at
	}
}

// overdue reports whether the target is taken to pause at the moment.
func (t *Target) overdue(now time.Time) bool {
	return t.responses.stalled(now) || now.Sub(t.peerUnansweredSince) < stallPenalty && t.responses.lastReply.Before(t.peerUnansweredSince)
}

// available reports whether the target is neither leaving, down nor silent.
func (t *Target) available(now time.Time) bool {
	return t.state == StateReady && !now.Before(t.downUntil) && (!t.responses.silent(now) || t.responses.probeDue(now))
}

// pickRegistered chooses among the targets of a pool: the one that is expected
// to answer first, of those that are neither down, silent nor full.
func (f *Fleet) pickRegistered(now time.Time, q Query) Choice {
	var chosen *Target
	var minScore, minBusyScore time.Duration
	busy, tried := 0, 0
	for _, t := range q.View.Replicas[q.Shard] {
		if !t.available(now) {
			continue
		}
		if slices.Contains(q.Tried, t) && !q.Again {
			tried++
			continue
		}
		if t.inFlight >= f.queryLimit(now, t, q) {
			if score := f.score(now, t) + t.expectedLossCost(now, q.LossCost); busy == 0 || score < minBusyScore {
				minBusyScore = score
			}
			busy++
			continue
		}
		if score := f.score(now, t) + t.expectedLossCost(now, q.LossCost); chosen == nil || score < minScore {
			chosen, minScore = t, score
		}
	}
	switch {
	case chosen != nil && (busy == 0 || len(q.Tried) > 0 || minScore <= slowerFactor*minBusyScore+slowerMargin):
		return Choice{Verdict: Picked, Target: chosen}
	case busy > 0:
		return Choice{Verdict: Busy}
	case tried > 0:
		return Choice{Verdict: Exhausted}
	}
	return Choice{Verdict: Lost}
}

// recordRegistered takes the end of an attempt at a registered target.
func (f *Fleet) recordRegistered(now time.Time, t *Target, outcome Outcome, latency float64) {
	sent := now.Add(-time.Duration(latency * float64(time.Second)))
	defer f.updateReportedState(now, t, outcome)
	switch outcome {
	case Success:
		t.lastSeen = now
		t.failures, t.refusals, t.sheds = 0, 0, 0
		t.downUntil = time.Time{}
		f.detectPause(now, t, sent)
		t.responses.recordReply(now, sent)
	case Crowded:
		t.lostAnswerAt = now
		t.responses.recordSign()
		if t.inFlight == 0 {
			t.markFull(now)
			return
		}
		t.crowdedUntil, t.crowdedLimit = now.Add(crowdedTime), t.inFlight
	case Shed:
		t.responses.recordSign()
		t.markFull(now)
	case Failed:
		// A target that fails a request has at least answered.
		t.responses.recordSign()
		t.failures = min(t.failures+1, ejectAfter)
	case Refused:
		t.downUntil = now.Add(min(minDownTime<<min(t.refusals, 4), maxDownTime))
		t.refusals++
		t.responses.recordSign()
	case Draining, Gone:
		f.setState(t, StateLeaving)
	case Broken, Corrupt:
		t.lostAnswerAt = now
		t.failures = min(t.failures+1, ejectAfter)
	case Cancelled, Expired:
	}
}

// Lost takes another daemon's word that a target lost an answer at some time.
func (f *Fleet) Lost(id string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && at.After(t.lostAnswerAt) {
		t.lostAnswerAt = at
	}
}

// markFull leaves a full target alone for a while.
func (t *Target) markFull(now time.Time) {
	t.fullUntil = now.Add(min(minFullTime<<min(t.sheds, 4), maxFullTime))
	t.sheds++
}

// updateReportedState tells when it changes whether the target is taken to serve.
func (f *Fleet) updateReportedState(now time.Time, t *Target, why Outcome) {
	state := StateReady
	switch {
	case t.state == StateLeaving:
		state = StateLeaving
	case now.Before(t.downUntil):
		state = StateDown
	case t.responses.silent(now):
		state = StateSilent
	}
	before := t.reportedState
	if before == "" {
		before = StateReady
	}
	if state != before && f.config.Believed != nil {
		f.config.Believed(t, state, why)
	}
	t.reportedState = state
}

// detectPause takes from an answer whether the target has paused: it was overdue
// and took much longer than usual.
func (f *Fleet) detectPause(now time.Time, t *Target, sent time.Time) {
	typical := t.responses.typicalLatency(now)
	held := now.Sub(sent) - typical
	if held <= 0 || now.Sub(sent) < pauseFactor*typical {
		t.cycle.Answered(sent)
		return
	}
	if at := now.Add(-typical); t.cycle.Resumed(at, held) && f.config.Resumed != nil {
		f.config.Resumed(t, at, held)
	}
}

// Resumed takes another daemon's word that a target has resumed after a pause.
func (f *Fleet) Resumed(id string, at time.Time, held time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && t.Near {
		t.cycle.Resumed(at, held)
	}
}

// pausingOrDue reports whether the target pauses, or is about to.
func (t *Target) pausingOrDue(now time.Time) bool {
	_, paused := t.cycle.Paused(now, t.responses.typicalLatency(now))
	return paused || t.overdue(now)
}
