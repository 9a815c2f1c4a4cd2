// Package quota divides the rate limit of a caller among all daemons without a
// central counter.
//
// Each daemon reports its demand for every limited caller to the others. The share
// of a daemon is proportional to its fraction of the total demand that was reported to
// it. A share falls at once, but it rises only after the others have had time to
// receive the demand that caused the rise, so daemons with different views admit too
// little rather than too much.
//
// # Usage
//
//	q := quota.New("daemon-1")
//	q.Observe(now, "Erbacee/LabelDesk/stall-7")
//	limit := q.Share(now, "Erbacee/LabelDesk/stall-7", 40, liveDaemons)
//	claims := q.Claims(now) // to send to the other daemons
//	q.Merge(now, theirs)
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// demandWindow is the time over which requests are counted, and maxEmptyWindows is
	// the number of empty windows after which a demand has ended.
	demandWindow    = 500 * time.Millisecond
	maxEmptyWindows = 2
	// newWindowWeight is the weight of a new window in the moving average of the demand.
	newWindowWeight = 0.5
	// raiseDelay is the delay before a share rises. Within it heartbeats spread the
	// demand that caused the rise.
	raiseDelay = 2 * time.Second
	// claimLifetime is how long a claim counts without being renewed.
	claimLifetime = 5 * time.Second
	// forwardLifetime is how long a claim of another daemon is forwarded.
	forwardLifetime = 2 * time.Second
	// maxCallers bounds the callers tracked and the claims kept of other daemons;
	// maxClaims bounds the claims in one message.
	maxCallers = 1024
	maxClaims  = 32
	// idleAfter is the time without requests after which a caller is dropped.
	idleAfter = 10 * time.Second
)

// Claim is the demand of one daemon for one caller.
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

type remoteClaim struct {
	rate   float64
	madeAt time.Time
}

// localCaller is this daemon's state for one caller.
type localCaller struct {
	count        int
	windowStart  time.Time
	lastRequest  time.Time
	demand       float64
	granted      float64
	initialized  bool
	emptyWindows int
	raiseSince   time.Time
}

// Quota is the state of one daemon. Its methods are safe for concurrent use.
type Quota struct {
	daemon string

	mu      mutex.Mutex
	callers map[string]*localCaller
	claims  map[claimKey]remoteClaim
}

// New returns the state of the daemon with the given name.
func New(daemon string) *Quota {
	return &Quota{daemon: daemon, callers: map[string]*localCaller{}, claims: map[claimKey]remoteClaim{}}
}

// Observe counts a request of a limited caller, admitted or not.
func (q *Quota) Observe(now time.Time, caller string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	o := q.callers[caller]
	if o == nil {
		if len(q.callers) >= maxCallers {
			q.dropExpired(now)
		}
		if len(q.callers) >= maxCallers {
			return
		}
		o = &localCaller{windowStart: now}
		q.callers[caller] = o
	}
	o.count++
	o.lastRequest = now
	o.closeWindow(now)
}

// closeWindow updates the demand if the current window has passed.
func (o *localCaller) closeWindow(now time.Time) {
	passed := now.Sub(o.windowStart)
	if passed < demandWindow {
		return
	}
	rate := float64(o.count) / passed.Seconds()
	if o.count == 0 {
		o.emptyWindows += int(passed / demandWindow)
	} else {
		o.emptyWindows = 0
	}
	if o.demand == 0 || o.emptyWindows >= maxEmptyWindows {
		// A demand that starts or ends follows the rate at once. When it ends, other
		// daemons may then take over its share.
		o.demand = rate
	} else {
		o.demand += newWindowWeight * (rate - o.demand)
	}
	o.count = 0
	o.windowStart = now
}

func (q *Quota) dropExpired(now time.Time) {
	for caller, o := range q.callers {
		if now.Sub(o.lastRequest) > idleAfter {
			delete(q.callers, caller)
		}
	}
	for key, h := range q.claims {
		if now.Sub(h.madeAt) > claimLifetime {
			delete(q.claims, key)
		}
	}
}

// Share returns how many requests per second of a caller's rate this daemon may
// admit. Without demand of its own it has an equal share.
func (q *Quota) Share(now time.Time, caller string, rate float64, daemons int) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	evenShare := rate / float64(max(daemons, 1))
	o := q.callers[caller]
	if o == nil {
		return evenShare
	}
	o.closeWindow(now)
	if !o.initialized {
		o.initialized = true
		o.granted = evenShare
	}
	newShare := min(q.demandShare(now, caller, o.demand, rate, evenShare), rate)
	switch {
	case newShare <= o.granted:
		o.granted = newShare
		o.raiseSince = time.Time{}
	case o.raiseSince.IsZero():
		o.raiseSince = now
	case now.Sub(o.raiseSince) >= raiseDelay:
		o.granted = newShare
	}
	return o.granted
}

// demandShare returns the share that follows from the demands of all daemons.
func (q *Quota) demandShare(now time.Time, caller string, demand, rate, evenShare float64) float64 {
	if demand == 0 {
		return evenShare
	}
	otherDemand := 0.0
	for key, h := range q.claims {
		if key.caller == caller && now.Sub(h.madeAt) <= claimLifetime {
			otherDemand += h.rate
		}
	}
	return rate * demand / (demand + otherDemand)
}

// Claims lists the demands of this daemon and those received recently from others,
// the newest first.
func (q *Quota) Claims(now time.Time) []Claim {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropExpired(now)
	var claims []Claim
	for caller, o := range q.callers {
		o.closeWindow(now)
		if now.Sub(o.lastRequest) <= idleAfter {
			claims = append(claims, Claim{Daemon: q.daemon, Caller: caller, Rate: o.demand})
		}
	}
	for key, h := range q.claims {
		if age := now.Sub(h.madeAt); age <= forwardLifetime {
			claims = append(claims, Claim{Daemon: key.daemon, Caller: key.caller, Rate: h.rate, AgeMillis: age.Milliseconds()})
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Caller, b.Caller))
	})
	return claims[:min(len(claims), maxClaims)]
}

// Merge takes over the claims that another daemon sent.
func (q *Quota) Merge(now time.Time, claims []Claim) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range claims {
		c := &claims[i]
		made := now.Add(-time.Duration(max(c.AgeMillis, 0)) * time.Millisecond)
		key := claimKey{daemon: c.Daemon, caller: c.Caller}
		old, known := q.claims[key]
		if c.Daemon == q.daemon || known && !made.After(old.madeAt) {
			continue
		}
		if !known && len(q.claims) >= maxCallers {
			continue
		}
		q.claims[key] = remoteClaim{rate: c.Rate, madeAt: made}
	}
}
