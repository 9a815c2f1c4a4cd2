package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// remotePenalty is added to the expected latency of a target in another
	// region: a gain of a few milliseconds at one of many shards does not
	// justify traffic between regions.
	remotePenalty = 30 * time.Millisecond
	// stallPenalty is the usual length of a pause; an overdue target is
	// expected to answer again by then.
	stallPenalty = 250 * time.Millisecond
	// minDownTime and maxDownTime bound the time for which a target that
	// refuses connections gets no attempts.
	minDownTime = 250 * time.Millisecond
	maxDownTime = 2 * time.Second
	// minFullTime is the time without attempts after a target rejected one
	// because it was full; its queue moves by a few requests meanwhile. The
	// time doubles up to maxFullTime while the target rejects all requests.
	minFullTime = 60 * time.Millisecond
	maxFullTime = 500 * time.Millisecond
	// crowdedTime is the time for which no further connection is opened to a
	// target that reset one. The target drops connections of a crashed daemon
	// within a few seconds.
	crowdedTime = time.Second
	// lossRiskHalfLife is the time in which the assumed risk that a target
	// loses an answer halves; the risk is 1 right after a loss.
	lossRiskHalfLife = 4 * time.Second
	// maxLoadAge is the age up to which a target's load report is used; its
	// queue moves by a few requests meanwhile.
	maxLoadAge = 150 * time.Millisecond
	// unusedConnectionShare is the part of a target's connections that daemons
	// leave unused, since they may disagree for a while on how many of them
	// share the target.
	unusedConnectionShare = 0.1
	// registeredVersion and registeredShards present a pool as a service of one
	// shard.
	registeredVersion = 1
	registeredShards  = 1
)

// SetEntries applies the registrations of the pool. Targets that are no longer
// registered are removed; a target that was restarted starts with a clean
// record. It returns the IDs of targets that were removed or replaced.
func (f *Fleet) SetEntries(now time.Time, entries []roster.Entry, regionOf func(dataCentre string) string) (gone []string) {
	regions := make([]string, len(entries))
	for i := range entries {
		regions[i] = regionOf(entries[i].DataCentre)
	}
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	listed := make(map[string]bool, len(entries))
	for i := range entries {
		e := &entries[i]
		listed[e.ID] = true
		t := f.targets[e.ID]
		if t == nil || t.born != e.Born || t.Address != e.Address {
			if t != nil {
				gone = append(gone, f.remove(t))
			}
			t = f.newRegistered(now, e, regions[i])
			f.targets[e.ID] = t
			f.viewsStale = true
		}
		t.slots = max(e.Slots, 1)
		f.applyEntry(t, e)
	}
	for id, t := range f.targets {
		if !listed[id] {
			gone = append(gone, f.remove(t))
			delete(f.targets, id)
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

// remove ends the use of a registered target and returns its ID.
func (f *Fleet) remove(t *Target) string {
	if f.config.OnRemoved != nil && t.state != StateLeaving && !t.selfReport.leaving() {
		f.calls.Add(func() { f.config.OnRemoved(t) })
	}
	t.state = StateLeaving
	return t.ID
}

func (f *Fleet) newRegistered(now time.Time, e *roster.Entry, region string) *Target {
	t := &Target{
		ID: e.ID, Address: e.Address, Region: region, DataCentre: e.DataCentre, Rack: e.ID,
		Local: region == f.config.Region, registered: true, born: e.Born, lastSeen: now, limit: 1,
		indexes: []wire.Index{{
			Service: f.config.Service, Version: registeredVersion, ShardCount: registeredShards, Shards: []int{0},
		}},
	}
	t.owner, t.selfReport = f, f.selfReports.find(t.boot())
	t.responses.initial = remoteInitialLatency
	if t.Local {
		t.responses.initial = localInitialLatency
	}
	return t
}

// applyEntry updates a target from a registration if that is newer than the
// last one. An older one must not override what the target itself has reported
// since.
func (f *Fleet) applyEntry(t *Target, e *roster.Entry) {
	registration := e.Statement()
	if !registration.After(t.Registered()) {
		return
	}
	t.registration.Store(&registration)
	if e.Leaving {
		if t.state != StateLeaving {
			f.notify(t, Notice{Kind: NoticeLeavingRegistration})
		}
		f.setState(t, StateLeaving)
		return
	}
	f.setState(t, StateReady)
}

// SetConnections sets how many connections each target accepts from all daemons
// together.
func (f *Fleet) SetConnections(count int) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	for _, t := range f.order {
		if t.connections != count {
			t.connections = count
			f.viewsStale = true
		}
	}
}

// SetLocalDaemons sets how many of the live daemons are in this daemon's region.
func (f *Fleet) SetLocalDaemons(count int) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	f.localDaemons = count
}

// RecordPeerStall records the notice of a peer that it has had no answer from a target
// for the given time.
func (f *Fleet) RecordPeerStall(now time.Time, id string, since time.Duration) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	t := f.targets[id]
	if t == nil {
		return
	}
	at := now.Add(-since)
	// Replies that this daemon got since then take precedence over the notice.
	if t.responses.lastReply.Before(at) {
		t.peerUnansweredSince = at
		t.responses.recordWait(now, since)
	}
}

// overdue reports whether the target is probably in a pause.
func (t *Target) overdue(now time.Time) bool {
	return t.responses.stalled(now) || now.Sub(t.peerUnansweredSince) < stallPenalty && t.responses.lastReply.Before(t.peerUnansweredSince)
}

// available reports whether the target may get attempts: it is neither down nor, by
// its registration, leaving, it does not withhold itself, and if it is silent, a probe
// is due.
func (t *Target) available(now time.Time) bool {
	return t.state == StateReady && !t.selfReport.withholds(now) && !now.Before(t.downUntil) && (!t.responses.silent(now) || t.responses.probeDue(now))
}

// pickRegistered chooses among the available targets of a pool. Targets that have said
// that they leave are used only if no other can serve.
func (f *Fleet) pickRegistered(now time.Time, q Query) Choice {
	choice := f.pickAvailable(now, q, false)
	if !q.Hedge && (choice.Verdict == Exhausted || choice.Verdict == Lost || choice.Verdict == OverLimit) {
		if last := f.pickAvailable(now, q, true); last.Verdict != Lost {
			return last
		}
	}
	return choice
}

// pickAvailable chooses the target that is expected to answer first, among those that
// are available and have room.
func (f *Fleet) pickAvailable(now time.Time, q Query, leaving bool) Choice {
	var chosen *Target
	var minScore time.Duration
	busy, tried, overLimit := 0, 0, 0
	replicas := q.View.Replicas[q.Shard]
	for i, t := range replicas {
		if !t.available(now) || t.selfReport.leaving() != leaving {
			continue
		}
		if slices.Contains(q.Tried, t) && !q.AllowTried {
			tried++
			continue
		}
		if (q.Granted == "" || q.Granted != t.ID) && !f.withinLimit(now, t, drawPosition(q.Draw, i, len(replicas)), q.Hedge) {
			overLimit++
			continue
		}
		if t.inFlight >= f.queryLimit(now, t, q) {
			busy++
			continue
		}
		if score := f.queryScore(now, t, q); chosen == nil || score < minScore {
			chosen, minScore = t, score
		}
	}
	switch {
	case chosen != nil:
		return Choice{Verdict: Picked, Target: chosen}
	case busy > 0:
		return Choice{Verdict: Busy}
	case overLimit > 0:
		return Choice{Verdict: OverLimit}
	case tried > 0:
		return Choice{Verdict: Exhausted}
	}
	return Choice{Verdict: Lost}
}

// recordRegistered records the end of an attempt at a registered target.
func (f *Fleet) recordRegistered(now time.Time, t *Target, outcome Outcome, latency float64, load *wire.Load) {
	sent := now.Add(-time.Duration(latency * float64(time.Second)))
	defer f.updateReportedState(now, t, outcome)
	if t.selfReport.pausing(now) && (outcome == Shed || outcome == Failed) {
		// The target has asked for a pause, which is no failure.
		t.responses.recordSignOfLife()
		return
	}
	switch outcome {
	case Success:
		t.lastSeen = now
		t.failures, t.refusals, t.sheds = 0, 0, 0
		t.rejections.recordAnswer(load)
		t.downUntil = time.Time{}
		t.responses.recordReply(now, sent)
		if t.selfReport.recordAnswer(sent, f.connectionShare(t)) {
			f.viewsStale = true
		}
	case Crowded:
		t.lostAnswerAt = now
		t.responses.recordSignOfLife()
		if t.inFlight == 0 {
			t.markFull(now)
			return
		}
		t.crowdedUntil, t.crowdedLimit = now.Add(crowdedTime), t.inFlight
	case Shed:
		t.responses.recordSignOfLife()
		if t.rejections.full(load, t.slots) {
			t.markFull(now)
			return
		}
		f.recordRejection(t, now.Sub(sent))
	case Failed:
		// A target that fails a request has at least answered.
		t.responses.recordSignOfLife()
		t.failures = min(t.failures+1, ejectAfter)
	case Refused:
		t.downUntil = now.Add(min(minDownTime<<min(t.refusals, 4), maxDownTime))
		t.refusals++
		t.responses.recordSignOfLife()
	case Draining, Gone:
		f.setState(t, StateLeaving)
	case Broken, Corrupt:
		t.lostAnswerAt = now
		t.failures = min(t.failures+1, ejectAfter)
	case Withheld:
		if t.inFlight == 0 {
			t.responses.recordSignOfLife()
		}
	case Cancelled, Expired:
		if t.inFlight == 0 && !t.responses.unanswered.IsZero() {
			t.responses.recordWait(now, now.Sub(t.responses.unanswered))
		}
	}
}

// recordRejection records that a target with room has rejected a request.
func (f *Fleet) recordRejection(t *Target, took time.Duration) {
	t.rejections.recordRejection(took)
	f.hasRejected.Store(true)
}

// RecordPeerLoss records the notice of a peer that a target lost an answer at the given
// time.
func (f *Fleet) RecordPeerLoss(id string, at time.Time) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if t := f.targets[id]; t != nil && at.After(t.lostAnswerAt) {
		t.lostAnswerAt = at
	}
}

// markFull stops attempts at a full target for a while.
func (t *Target) markFull(now time.Time) {
	t.fullUntil = now.Add(min(minFullTime<<min(t.sheds, 4), maxFullTime))
	t.sheds++
}

// updateReportedState calls Config.OnStateChange if the state of the target has
// changed.
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
	if state != before && f.config.OnStateChange != nil {
		f.calls.Add(func() { f.config.OnStateChange(t, state, why) })
	}
	t.reportedState = state
}
