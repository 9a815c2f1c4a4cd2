package relay

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	headerLimit = "Limit"
	// limitWindow is the time in which the requests to a limited target are counted,
	// limitFactor and limitSlack how many more than its limit it may get then, and
	// limitSettle when the count begins after the target first named a limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitSettle = 4 * time.Second
	// toldDelay is the time after which the requests of a daemon count that the target
	// has told of its limit.
	toldDelay = 500 * time.Millisecond
	// limitedFor is how long targets name a limit, and afterLimit how long requests go on
	// after it.
	limitedFor = 14 * time.Second
	afterLimit = 12 * time.Second
)

// limitStatement is what a fake target says of its limit, and to whom.
type limitStatement struct {
	// from and until is when the target names the limit, in requests a second.
	from, until time.Time
	perSecond   float64
	// told is when each daemon first got such an answer.
	told map[int]time.Time
}

// nameLimit adds the target's limit to a reply.
func (f *fakeTarget) nameLimit(daemon int, reply *http1.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.statements.limit
	now := time.Now()
	if reply == nil || l.perSecond == 0 || now.Before(l.from) || !now.Before(l.until) {
		return
	}
	reply.Header.Set(headerLimit, strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	if l.told == nil {
		l.told = map[int]time.Time{}
	}
	if l.told[daemon].IsZero() {
		l.told[daemon] = now
	}
}

// countOverLimit returns the most requests in a window while the target named its limit,
// from daemons that it had told, and how many are allowed.
func (f *fakeTarget) countOverLimit() (most int, allowed float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.statements.limit
	var first time.Time
	for _, at := range l.told {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var counted []time.Time
	for daemon, arrivals := range f.statements.arrivals {
		told := l.told[daemon]
		for _, at := range arrivals {
			if !told.IsZero() && at.After(told.Add(toldDelay)) && at.After(first.Add(limitSettle)) && at.Before(l.until) {
				counted = append(counted, at)
			}
		}
	}
	slices.SortFunc(counted, func(a, b time.Time) int { return a.Compare(b) })
	begin := 0
	for end, at := range counted {
		for at.Sub(counted[begin]) >= limitWindow {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return most, limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
}

// Guards against targets that get more requests than the limit that they have named, from
// all daemons together, and against requests that are kept from other targets, held up
// instead of being refused, or still kept away after the limit has ended.
func TestLimitsAreKeptByAllDaemons(t *testing.T) {
	single := &tree.Route{
		Name: "single", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond,
		Split: []tree.Share{{Pool: "s00", Weight: 1}},
	}
	gathered := historyRoute()
	gathered.MaxAttempts, gathered.Timeout = 2, 2*time.Second
	one := func(pool, replica int) bool { return pool == 0 && replica == 0 }
	all := func(pool, _ int) bool { return pool == 0 }
	mostShards := func(pool, replica int) bool { return pool%2 == 0 || replica == 0 }
	tests := []struct {
		name    string
		daemons int
		route   *tree.Route
		// rate is that of all requests, a second.
		rate    float64
		limited func(pool, replica int) bool
		limit   float64
		// during and after are the shares of requests to be served in time while the
		// limit lasts and after it.
		during, after float64
		// regional is true if half of the daemons are in another region, without targets.
		regional bool
	}{
		{"one target of two", 8, single, 60, one, 18, 0.97, 0.97, false},
		{"one target of two, a small limit", 8, single, 60, one, 3.7, 0.97, 0.97, false},
		{"one target, many daemons", 300, single, 200, one, 18, 0.97, 0.97, false},
		{"all targets of a pool", 8, single, 60, all, 12, 0.2, 0.9, false},
		{"all targets of a pool, many daemons", 300, single, 200, all, 12, 0, 0.5, false},
		{"one target of a shard", 8, gathered, 40, one, 6, 0.97, 0.97, false},
		{"all targets of a shard", 8, gathered, 40, all, 6, 0.9, 0.97, false},
		{"most targets of all shards", 8, gathered, 40, mostShards, 10, 0.2, 0.9, false},
		{"most targets of all shards, through peers", 6, gathered, 40, mostShards, 10, 0.1, 0.9, true},
		{"a rate below the limit", 8, single, 6, all, 12, 0.8, 0.97, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 0, 2, 8, gathered.Gather...)
				c.connectTime = 2 * time.Millisecond
				for i := range tt.daemons {
					region := "here"
					if tt.regional && i%2 == 1 {
						region = "away"
					}
					r := c.addDaemon(region, tt.daemons)
					if region == "away" {
						r.RemotePeers = &fakePeer{runner: c.daemons[i-1]}
					}
				}
				work := 10 * time.Millisecond
				c.offer(tt.route, work, tt.rate, 2*time.Second)
				began := time.Now()
				ends := began.Add(limitedFor)
				var limited []*fakeTarget
				for pool, name := range gathered.Gather {
					for replica, f := range c.targets[name] {
						if tt.limited(pool, replica) {
							f.set(func(f *fakeTarget) {
								f.statements.limit = limitStatement{from: began, until: ends, perSecond: tt.limit}
							})
							limited = append(limited, f)
						}
					}
				}
				c.offer(tt.route, work, tt.rate, limitedFor+afterLimit)
				c.settle()
				over, total := 0, 0
				worst := ""
				for _, f := range limited {
					most, allowed := f.countOverLimit()
					total += most
					if float64(most) > allowed {
						over++
						worst = cmp.Or(worst, fmt.Sprintf("%s got %d requests in %v, allowed %.0f", f.id, most, limitWindow, allowed))
					}
				}
				if over > 0 {
					t.Errorf("%d of %d targets over their limit; %s", over, len(limited), worst)
				}
				during, count := c.shareInTime(func(e *requestResult) bool {
					return e.arrived.After(began.Add(2*time.Second)) && e.arrived.Before(ends)
				})
				after, _ := c.shareInTime(func(e *requestResult) bool { return e.arrived.After(ends.Add(afterLimit / 2)) })
				if during < tt.during || after < tt.after {
					t.Errorf("%.3f served in time during the limit, %.3f after it, want %.2f and %.2f", during, after, tt.during, tt.after)
				}
				results := map[Result]int{}
				for i := range c.results {
					e := &c.results[i]
					results[e.answer.Result]++
					if e.answer.Result == NotRun && e.took > 60*time.Millisecond {
						t.Errorf("refused after %v: %s", e.took, e.answer.Reason)
					}
				}
				t.Logf("%.1f requests in a window on average, limit %v; in time %.3f of %d, after it %.3f; %v",
					float64(total)/float64(len(limited)), tt.limit, during, count, after, results)
			})
		})
	}
}

// parseFakeLimit returns the limit in a fake target's reply.
func parseFakeLimit(header http.Header) *float64 {
	limit, err := strconv.ParseFloat(header.Get(headerLimit), 64)
	if err != nil {
		return nil
	}
	return &limit
}
