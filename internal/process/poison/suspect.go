package poison

import (
	"slices"
	"time"
)

// suspect is what a register holds against one query.
type suspect struct {
	version    uint64
	losses     []loss
	newestLoss time.Time
	// clearedAt is when the query last succeeded while it was suspected.
	clearedAt     time.Time
	quarantinedAt time.Time
	duration      time.Duration
}

// loss is a Loss with its times.
type loss struct {
	Loss
	sent time.Time
	at   time.Time
}

func newLoss(l Loss, at time.Time) loss {
	sent := l.Sent
	if sent.IsZero() {
		sent = at.Add(-time.Duration(l.RanMillis) * time.Millisecond)
	}
	return loss{Loss: l, sent: sent, at: at}
}

// clear drops the losses of attempts that were sent before a success, and reports whether
// there were any.
func (s *suspect) clear(at time.Time) bool {
	if at.After(s.clearedAt) {
		s.clearedAt = at
	}
	before := len(s.losses)
	s.losses = slices.DeleteFunc(slices.Clone(s.losses), func(l loss) bool { return !l.sent.After(at) })
	if len(s.losses) == 0 {
		s.quarantinedAt = time.Time{}
	}
	return len(s.losses) < before
}

// add records a loss and reports whether it adds evidence. Beyond maxLosses, one that was
// sent later replaces the last.
func (s *suspect) add(l loss) bool {
	last := len(s.losses) - 1
	switch {
	case s.hasTarget(l.Target):
		return false
	case len(s.losses) < maxLosses:
		s.losses = append(s.losses[:len(s.losses):len(s.losses)], l)
	case l.sent.After(s.losses[last].sent):
		s.losses = append(s.losses[:last:last], l)
	default:
		return false
	}
	if l.at.After(s.newestLoss) {
		s.newestLoss = l.at
	}
	return true
}

func (s *suspect) quarantined(now time.Time) bool {
	return !s.quarantinedAt.IsZero() && now.Sub(s.quarantinedAt) < s.duration
}

// repeated reports whether a target was lost to an attempt that was sent after the
// loss of another target.
func (s *suspect) repeated() bool {
	for _, first := range s.losses {
		for _, second := range s.losses {
			if first.Target != second.Target && !second.sent.Before(first.at) {
				return true
			}
		}
	}
	return false
}

// worthTelling reports whether other daemons should hear of a change before the next
// heartbeat: if it may quarantine the query, or has cleared it.
func (s *suspect) worthTelling() bool { return len(s.losses) == 0 || s.repeated() }

// shared reports whether the targets were running other queries as well.
func (s *suspect) shared() bool {
	return slices.ContainsFunc(s.losses, func(l loss) bool { return l.Shared })
}

func (s *suspect) hasTarget(target string) bool {
	for _, loss := range s.losses {
		if loss.Target == target {
			return true
		}
	}
	return false
}

func (s *suspect) domainCount() int {
	domains := map[string]bool{}
	for _, loss := range s.losses {
		domains[loss.Domain] = true
	}
	return len(domains)
}
