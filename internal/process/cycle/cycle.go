// Package cycle foresees the pauses of targets that pause at regular times, as
// a timer for upkeep makes them do. A daemon sees a pause as answers that come
// late and together; where such ends recur at one period, the next can be
// avoided.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	beat := cycle.NewBeat()
//	c := cycle.Cycle{Beat: beat}
//	c.Resumed(at, held)                       // an answer was held up until then
//	if until, paused := c.Paused(now, lead); paused {
//		// another target, or wait until then
//	}
//	c.Answered(sent)                          // an attempt sent then was in time
package cycle

import (
	"slices"
	"sync"
	"time"
)

const (
	// together joins ends that belong to one pause: what waited is worked off
	// one after the other.
	together = 300 * time.Millisecond
	// tolerance is how far an end may lie off the period: the time that answers
	// take differs by about as much.
	tolerance = 45 * time.Millisecond
	// periodLeast and periodMost bound the periods that are looked for.
	periodLeast = 1500 * time.Millisecond
	periodMost  = time.Minute
	// endsKept is the number of ends remembered of each target.
	endsKept = 6
	// gapsKept is the number of gaps remembered of all targets.
	gapsKept = 64
	// votesLeast is the number of gaps that agree before a period is believed.
	votesLeast = 3
	// missesMost is the number of answers in time, sent while a pause was
	// foreseen, after which it is no longer believed.
	missesMost = 2
	// heldLeast is the least time that an answer was held up by a pause.
	heldLeast = 60 * time.Millisecond
	// heldMost bounds the length of a pause.
	heldMost = time.Second
)

// gap is the time between two ends at one target.
type gap struct {
	owner *Cycle
	took  time.Duration
}

// Beat is what the targets of a daemon have in common: the period of their
// pauses, and how long these last. Its methods may be called from any goroutine.
type Beat struct {
	mu     sync.Mutex
	gaps   []gap
	period time.Duration
	held   time.Duration
}

// NewBeat returns a beat of which nothing is known.
func NewBeat() *Beat { return &Beat{} }

// vote records a gap and looks for the period that most gaps share.
func (b *Beat) vote(owner *Cycle, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.gaps) == gapsKept {
		b.gaps = slices.Delete(b.gaps, 0, 1)
	}
	b.gaps = append(b.gaps, gap{owner: owner, took: took})
	best, votes := time.Duration(0), 0
	for i := range b.gaps {
		sum, count := time.Duration(0), 0
		owners := map[*Cycle]bool{}
		for j := range b.gaps {
			if near(b.gaps[i].took, b.gaps[j].took) {
				sum += b.gaps[j].took
				count++
				owners[b.gaps[j].owner] = true
			}
		}
		if len(owners) >= votesLeast && count > votes {
			best, votes = sum/time.Duration(count), count
		}
	}
	b.period = best
}

// last records for how long a pause held up an answer.
func (b *Beat) last(held time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = max(b.held, min(held, heldMost))
}

// Period returns the period and the length of the pauses; false while they are
// not known.
func (b *Beat) Period() (period, held time.Duration, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.period, b.held, b.period > 0
}

func near(a, b time.Duration) bool { return (a - b).Abs() <= tolerance }

// Cycle is what is known of one target's pauses. It is guarded by its owner.
type Cycle struct {
	Beat *Beat

	// ends are when pauses ended, oldest first.
	ends   []time.Time
	misses int
}

// Resumed records that answers came again after a pause that ended then and
// held up one of them for some time. It reports whether that pause was not
// known yet.
func (c *Cycle) Resumed(at time.Time, held time.Duration) (fresh bool) {
	if c.Beat == nil || held < heldLeast {
		return false
	}
	if count := len(c.ends); count > 0 && at.Sub(c.ends[count-1]) < together {
		// The first answer after a pause tells its end best.
		if at.Before(c.ends[count-1]) {
			c.ends[count-1] = at
		}
	} else {
		fresh = true
		if count == endsKept {
			c.ends = slices.Delete(c.ends, 0, 1)
		}
		c.ends = append(c.ends, at)
		c.misses = 0
		if count > 0 {
			if took := at.Sub(c.ends[len(c.ends)-2]); took >= periodLeast && took <= periodMost {
				c.Beat.vote(c, took)
			}
		}
	}
	if period, _, known := c.Beat.Period(); known && c.support(period, len(c.ends)-1) > 1 {
		c.Beat.last(held)
	}
	return fresh
}

// support counts the ends that lie whole periods away from one of them, itself
// included.
func (c *Cycle) support(period time.Duration, index int) int {
	count := 0
	for _, end := range c.ends {
		apart := c.ends[index].Sub(end).Abs()
		rounds := (apart + period/2) / period
		if (apart - rounds*period).Abs() <= tolerance {
			count++
		}
	}
	return count
}

// window returns the pause that is next to end after a time.
func (c *Cycle) window(now time.Time) (from, until time.Time, known bool) {
	if c.Beat == nil || len(c.ends) == 0 || c.misses >= missesMost {
		return from, until, false
	}
	period, held, known := c.Beat.Period()
	if !known {
		return from, until, false
	}
	best, votes := 0, 0
	for i := range c.ends {
		if count := c.support(period, i); count >= votes {
			best, votes = i, count
		}
	}
	rounds := max((now.Sub(c.ends[best])+period-1)/period, 1)
	until = c.ends[best].Add(rounds * period)
	return until.Add(-held), until, true
}

// Paused reports whether a request sent now is expected to meet a pause, and
// until when. Lead is how long the request would be under way.
func (c *Cycle) Paused(now time.Time, lead time.Duration) (until time.Time, paused bool) {
	from, until, known := c.window(now)
	return until, known && now.Add(lead).After(from)
}

// Answered records an answer in time to a request that was sent at a time.
func (c *Cycle) Answered(sent time.Time) {
	from, until, known := c.window(sent)
	middle := from.Add(until.Sub(from) / 2)
	if known && near(0, sent.Sub(middle)) {
		c.misses++
	}
}
