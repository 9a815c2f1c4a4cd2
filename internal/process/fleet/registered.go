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
	// downLeast and downMost bound the time for which a target that refuses
	// connections is left alone.
	downLeast = 250 * time.Millisecond
	downMost  = 2 * time.Second
	// fullTime is how long a target that turned a request away gets no other:
	// its queue moves by some requests meanwhile. It doubles up to fullMost while
	// the target goes on to turn all away.
	fullTime = 60 * time.Millisecond
	fullMost = 500 * time.Millisecond
	// crowdTime is how long no further connection is opened to a target that
	// reset one. Connections that a lost daemon left behind time out there within
	// a few seconds.
	crowdTime = time.Second
	// lossHalfLife is the time in which the risk that a target loses an answer,
	// which is certain once it has lost one, is taken to halve.
	lossHalfLife = 4 * time.Second
	// loadFresh is how long a target's word on its load is believed: its queue
	// moves by some requests meanwhile.
	loadFresh = 150 * time.Millisecond
	// waitFactor is how many times longer than the wait for room at one target
	// an answer of another may take to be preferred to it.
	waitFactor = 6
	// waitSlack is added to that: a target in another region is no worse.
	waitSlack = 60 * time.Millisecond
	// pauseFactor is how many times longer than usual an answer took that a
	// pause held up.
	pauseFactor = 2
	// spareShare is the part of a target's connections that daemons leave free,
	// since their views of how many share it differ for a while.
	spareShare = 0.1
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
			f.dirty = true
		}
		t.slots = max(e.Slots, 1)
		f.register(t, e)
	}
	for id, t := range f.targets {
		if !listed[id] {
			t.state = StateLeaving
			delete(f.targets, id)
			gone = append(gone, id)
			f.dirty = true
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
		Near: region == f.config.Region, registered: true, born: e.Born, seen: now, limit: 1,
		indexes: []wire.Index{{
			Service: f.config.Service, Version: registeredVersion, ShardCount: registeredShards, Shards: []int{0},
		}},
	}
	t.cycle.Beat = f.config.Beat
	t.pace.guess = farGuess
	if t.Near {
		t.pace.guess = nearGuess
	}
	return t
}

// register takes a registration that is newer than the last. An old one says
// nothing against what the target itself has told since.
func (f *Fleet) register(t *Target, e *roster.Entry) {
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
			f.dirty = true
		}
	}
}

// SetNear tells how many of the live daemons are in this daemon's region.
func (f *Fleet) SetNear(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.near = count
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
	if t.pace.replied.Before(at) {
		t.warned = at
	}
}

// overdue reports whether the target is taken to pause at the moment.
func (t *Target) overdue(now time.Time) bool {
	return t.pace.stalled(now) || now.Sub(t.warned) < stallPenalty && t.pace.replied.Before(t.warned)
}

// available reports whether the target is neither leaving, down nor silent.
func (t *Target) available(now time.Time) bool {
	return t.state == StateReady && !now.Before(t.down) && (!t.pace.dark(now) || t.pace.probeDue(now))
}

// pickRegistered chooses among the targets of a pool: the one that is expected
// to answer first, of those that are neither down, silent nor full.
func (f *Fleet) pickRegistered(now time.Time, q Query) Choice {
	var chosen *Target
	var least, soonest time.Duration
	busy, tried := 0, 0
	for _, t := range q.View.Replicas[q.Shard] {
		if !t.available(now) {
			continue
		}
		if slices.Contains(q.Tried, t) && !q.Again {
			tried++
			continue
		}
		if t.inFlight >= f.roomFor(now, t, q) {
			if score := f.wait(now, t) + t.lossRisk(now, q.LossCost); busy == 0 || score < soonest {
				soonest = score
			}
			busy++
			continue
		}
		if score := f.wait(now, t) + t.lossRisk(now, q.LossCost); chosen == nil || score < least {
			chosen, least = t, score
		}
	}
	switch {
	case chosen != nil && (busy == 0 || len(q.Tried) > 0 || least <= waitFactor*soonest+waitSlack):
		return Choice{Verdict: Picked, Target: chosen}
	case busy > 0:
		return Choice{Verdict: Busy}
	case tried > 0:
		return Choice{Verdict: Exhausted}
	}
	return Choice{Verdict: Lost}
}

// learnRegistered takes the end of an attempt at a registered target.
func (f *Fleet) learnRegistered(now time.Time, t *Target, outcome Outcome, latency float64) {
	sent := now.Add(-time.Duration(latency * float64(time.Second)))
	defer f.believe(now, t, outcome)
	switch outcome {
	case Success:
		t.seen = now
		t.failures, t.refusals, t.sheds = 0, 0, 0
		t.down = time.Time{}
		f.learnPause(now, t, sent)
		t.pace.reply(now, sent)
	case Crowded:
		t.lost = now
		t.pace.heard()
		if t.inFlight == 0 {
			t.turnedAway(now)
			return
		}
		t.crowded, t.crowdRoom = now.Add(crowdTime), t.inFlight
	case Shed:
		t.pace.heard()
		t.turnedAway(now)
	case Failed:
		// A target that fails a request has at least answered.
		t.pace.heard()
		t.failures = min(t.failures+1, ejectAfter)
	case Refused:
		t.down = now.Add(min(downLeast<<min(t.refusals, 4), downMost))
		t.refusals++
		t.pace.heard()
	case Draining, Gone:
		f.setState(t, StateLeaving)
	case Broken, Corrupt:
		t.lost = now
		t.failures = min(t.failures+1, ejectAfter)
	case Cancelled, Expired:
	}
}

// Lost takes another daemon's word that a target lost an answer at some time.
func (f *Fleet) Lost(id string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && at.After(t.lost) {
		t.lost = at
	}
}

// turnedAway leaves a full target alone for a while.
func (t *Target) turnedAway(now time.Time) {
	t.full = now.Add(min(fullTime<<min(t.sheds, 4), fullMost))
	t.sheds++
}

// believe tells when it changes whether the target is taken to serve.
func (f *Fleet) believe(now time.Time, t *Target, why Outcome) {
	state := StateReady
	switch {
	case t.state == StateLeaving:
		state = StateLeaving
	case now.Before(t.down):
		state = StateDown
	case t.pace.dark(now):
		state = StateSilent
	}
	before := t.believed
	if before == "" {
		before = StateReady
	}
	if state != before && f.config.Believed != nil {
		f.config.Believed(t, state, why)
	}
	t.believed = state
}

// learnPause takes from an answer whether the target has paused: it was overdue
// and took much longer than usual.
func (f *Fleet) learnPause(now time.Time, t *Target, sent time.Time) {
	typical := t.pace.typical(now)
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

// hampered reports whether the target pauses, or is about to.
func (t *Target) hampered(now time.Time) bool {
	_, paused := t.cycle.Paused(now, t.pace.typical(now))
	return paused || t.overdue(now)
}
