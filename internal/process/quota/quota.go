// Package quota decides which part of a caller's rate each daemon may admit,
// when all daemons share one limit and none of them keeps the count.
//
// Each daemon tells the others its demand for every limited caller. A daemon's
// share is its part of the whole demand that it knows of. A share falls at once
// but rises only after the others have had time to hear the demand behind it,
// so daemons whose views differ err towards admitting less.
//
// # Usage
//
//	q := quota.New("daemon-1")
//	q.Observe(now, "Erbacee/LabelDesk/stall-7")
//	limit := q.Share(now, "Erbacee/LabelDesk/stall-7", 40, liveDaemons)
//	claims := q.Claims(now) // for the other daemons
//	q.Merge(now, theirs)
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which demand is counted, and emptyMost the number
	// of empty windows after which a demand has ended.
	window    = 500 * time.Millisecond
	emptyMost = 2
	// demandWeight is the weight of a new window in the demand.
	demandWeight = 0.5
	// raiseAfter is how long a larger share waits: heartbeats have spread the
	// demand behind it by then.
	raiseAfter = 2 * time.Second
	// claimLife is how long a claim counts without being renewed.
	claimLife = 5 * time.Second
	// relayLife is how long a claim is passed on.
	relayLife = 2 * time.Second
	// callersMost bounds the callers tracked, and claimsMost one message.
	callersMost = 1024
	claimsMost  = 32
	// idleAfter is when a caller without requests is forgotten.
	idleAfter = 10 * time.Second
)

// Claim is one daemon's demand for one caller.
type Claim struct {
	_      struct{} `cbor:",toarray"`
	Daemon string
	Caller string
	// Rate is in requests per second.
	Rate float64
	// AgeMillis is the time since the daemon itself made the claim.
	AgeMillis int64
}

type claimKey struct{ daemon, caller string }

type heard struct {
	rate float64
	made time.Time
}

// own is this daemon's state for one caller.
type own struct {
	count    int
	since    time.Time
	last     time.Time
	demand   float64
	granted  float64
	begun    bool
	empty    int
	wantMore time.Time
}

// Quota is one daemon's state. Its methods may be called from any goroutine.
type Quota struct {
	daemon string

	mu      sync.Mutex
	callers map[string]*own
	claims  map[claimKey]heard
}

// New returns the state of a daemon by its name.
func New(daemon string) *Quota {
	return &Quota{daemon: daemon, callers: map[string]*own{}, claims: map[claimKey]heard{}}
}

// Observe counts a request of a limited caller, admitted or not.
func (q *Quota) Observe(now time.Time, caller string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	o := q.callers[caller]
	if o == nil {
		if len(q.callers) >= callersMost {
			q.forget(now)
		}
		if len(q.callers) >= callersMost {
			return
		}
		o = &own{since: now}
		q.callers[caller] = o
	}
	o.count++
	o.last = now
	o.turn(now)
}

// turn closes windows that have passed.
func (o *own) turn(now time.Time) {
	passed := now.Sub(o.since)
	if passed < window {
		return
	}
	rate := float64(o.count) / passed.Seconds()
	if o.count == 0 {
		o.empty += int(passed / window)
	} else {
		o.empty = 0
	}
	if o.demand == 0 || o.empty >= emptyMost {
		// A demand that has ended is told at once, so that others may take over.
		o.demand = rate
	} else {
		o.demand += demandWeight * (rate - o.demand)
	}
	o.count = 0
	o.since = now
}

func (q *Quota) forget(now time.Time) {
	for caller, o := range q.callers {
		if now.Sub(o.last) > idleAfter {
			delete(q.callers, caller)
		}
	}
	for key, h := range q.claims {
		if now.Sub(h.made) > claimLife {
			delete(q.claims, key)
		}
	}
}

// Share returns the requests per second that this daemon may admit of a
// caller's rate. Until demands are known it is an even share.
func (q *Quota) Share(now time.Time, caller string, rate float64, daemons int) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	even := rate / float64(max(daemons, 1))
	o := q.callers[caller]
	if o == nil {
		return even
	}
	o.turn(now)
	if !o.begun {
		o.begun = true
		o.granted = even
	}
	want := min(q.part(now, caller, o.demand, rate, even), rate)
	switch {
	case want <= o.granted:
		o.granted = want
		o.wantMore = time.Time{}
	case o.wantMore.IsZero():
		o.wantMore = now
	case now.Sub(o.wantMore) >= raiseAfter:
		o.granted = want
	}
	return o.granted
}

// part is the share that the demands known call for.
func (q *Quota) part(now time.Time, caller string, demand, rate, even float64) float64 {
	if demand == 0 {
		return even
	}
	others := 0.0
	for key, h := range q.claims {
		if key.caller == caller && now.Sub(h.made) <= claimLife {
			others += h.rate
		}
	}
	return rate * demand / (demand + others)
}

// Claims lists this daemon's demands and those heard lately, for the others.
func (q *Quota) Claims(now time.Time) []Claim {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	var claims []Claim
	for caller, o := range q.callers {
		o.turn(now)
		if now.Sub(o.last) <= idleAfter {
			claims = append(claims, Claim{Daemon: q.daemon, Caller: caller, Rate: o.demand})
		}
	}
	for key, h := range q.claims {
		if age := now.Sub(h.made); age <= relayLife {
			claims = append(claims, Claim{Daemon: key.daemon, Caller: key.caller, Rate: h.rate, AgeMillis: age.Milliseconds()})
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Caller, b.Caller))
	})
	return claims[:min(len(claims), claimsMost)]
}

// Merge takes the claims that another daemon passed on.
func (q *Quota) Merge(now time.Time, claims []Claim) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range claims {
		c := &claims[i]
		made := now.Add(-time.Duration(max(c.AgeMillis, 0)) * time.Millisecond)
		key := claimKey{daemon: c.Daemon, caller: c.Caller}
		old, known := q.claims[key]
		if c.Daemon == q.daemon || known && !made.After(old.made) {
			continue
		}
		if !known && len(q.claims) >= callersMost {
			continue
		}
		q.claims[key] = heard{rate: c.Rate, made: made}
	}
}
