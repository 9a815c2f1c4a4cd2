package member

import (
	"cmp"
	"slices"
	"time"
)

// refresh rebuilds the two rings of live daemons if the table has changed.
func (t *Table) refresh() {
	if !t.dirty {
		return
	}
	t.dirty = false
	watched := map[*entry]bool{}
	for _, e := range t.predecessors() {
		watched[e] = true
	}
	t.ring, t.local = t.ring[:0], t.local[:0]
	for _, e := range t.members {
		if e.State < Silent || e == t.self {
			t.ring = append(t.ring, e)
		}
	}
	slices.SortFunc(t.ring, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	for _, e := range t.ring {
		if e.DataCentre == t.self.DataCentre {
			t.local = append(t.local, e)
		}
	}
	for _, e := range t.predecessors() {
		if !watched[e] {
			e.watchedSince = time.Time{}
		}
	}
}

// predecessors returns the few daemons before this one on both rings, which this
// daemon monitors.
func (t *Table) predecessors() []*entry {
	return union(t.neighbours(t.local, -1), t.neighbours(t.ring, -1))
}

// neighbours returns the next few daemons on a ring in one direction.
func (t *Table) neighbours(ring []*entry, step int) []*entry {
	count := len(ring)
	at := slices.Index(ring, t.self)
	if at < 0 {
		return nil
	}
	var found []*entry
	for i := 1; i <= degree && i < count; i++ {
		found = append(found, ring[((at+step*i)%count+count)%count])
	}
	return found
}

// union appends those entries of the second list that the first one lacks.
func union(first, second []*entry) []*entry {
	for _, e := range second {
		if !slices.Contains(first, e) {
			first = append(first, e)
		}
	}
	return first
}

// Recipients holds the daemons to send heartbeats to.
type Recipients struct {
	// Local are daemons of the own data centre. Gateways are gateways of other data
	// centres; only a gateway sends to them. Remote are other daemons of other data
	// centres.
	Local, Gateways, Remote []Member
}

// Recipients returns the daemons to send a heartbeat to: the successors in the own
// data centre, a random daemon there, and, if this daemon is a gateway, gateways
// of the other data centres. With wholeRing, which callers set once per interval
// and whenever this daemon alone has records to report, it also returns the
// successors on the ring of all daemons, from time to time a random daemon, and a
// silent one. The silent one lets the two halves of a partitioned network find
// each other again.
func (t *Table) Recipients(now time.Time, wholeRing bool) Recipients {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	local := append(t.neighbours(t.local, 1), t.pickRandom(now, &t.randomLocalPeer, t.local))
	var others []*entry
	if wholeRing {
		others = t.neighbours(t.ring, 1)
		if t.routineRounds++; t.routineRounds%randomEvery == 0 {
			others = append(others, t.pickRandom(now, &t.randomPeer, t.ring))
		}
		if e := t.randomSilent(); e != nil {
			others = append(others, e)
		}
	}
	var recipients Recipients
	sent := []*entry{t.self}
	for _, e := range union(local, t.peerGateways()) {
		if e == t.self {
			continue
		}
		sent = append(sent, e)
		if e.DataCentre == t.self.DataCentre {
			recipients.Local = append(recipients.Local, t.export(now, e))
		} else {
			recipients.Gateways = append(recipients.Gateways, t.export(now, e))
		}
	}
	for _, e := range others {
		switch {
		case slices.Contains(sent, e):
			continue
		case e.DataCentre == t.self.DataCentre:
			recipients.Local = append(recipients.Local, t.export(now, e))
		default:
			recipients.Remote = append(recipients.Remote, t.export(now, e))
		}
		sent = append(sent, e)
	}
	return recipients
}

// peerGateways returns one gateway of each other data centre if this daemon is a
// gateway. The gateways of a data centre are its first daemons by hash.
func (t *Table) peerGateways() []*entry {
	at := slices.Index(t.local, t.self)
	if at >= gatewaysPerDataCentre {
		return nil
	}
	others := map[string][]*entry{}
	for _, e := range t.ring {
		if e.DataCentre != t.self.DataCentre && len(others[e.DataCentre]) < gatewaysPerDataCentre {
			others[e.DataCentre] = append(others[e.DataCentre], e)
		}
	}
	var found []*entry
	for _, list := range others {
		found = append(found, list[at%len(list)])
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	return found
}

// pickRandom returns a random member of a ring. It picks another one after
// randomPeerLifetime or when the member is no longer live.
func (t *Table) pickRandom(now time.Time, choice *cachedPeer, ring []*entry) *entry {
	e := t.members[choice.name]
	if e == nil || e.State >= Silent || now.Sub(choice.at) > randomPeerLifetime {
		e = ring[t.random.IntN(len(ring))]
		*choice = cachedPeer{name: e.Name, at: now}
	}
	return e
}

func (t *Table) randomSilent() *entry {
	var silent []*entry
	for _, e := range t.members {
		if e.State == Silent {
			silent = append(silent, e)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	slices.SortFunc(silent, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	return silent[t.random.IntN(len(silent))]
}
