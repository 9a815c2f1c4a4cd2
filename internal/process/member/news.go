package member

import (
	"cmp"
	"slices"
	"time"
)

// News holds the records to send with the next heartbeats, by kind of recipient.
type News struct {
	// Local are the records for daemons of the own data centre. Gateways are those for
	// gateways of other data centres: changes of the own data centre. Own are the
	// records that only this daemon can report, for all other recipients.
	Local, Gateways, Own []Member
}

// News returns the records to send with the next heartbeats, most recent first,
// and counts them as sent. Each data centre spreads records internally, so that
// few of them cross data centres.
func (t *Table) News(now time.Time) News {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newsRounds++; t.newsRounds%selfRecordEvery == 0 {
		t.self.sends = max(t.self.sends, 1)
	}
	var due []*entry
	for _, e := range t.members {
		if e.sends > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.hash, b.hash)) })
	due = due[:min(len(due), maxUpdates)]
	var news News
	for _, e := range due {
		e.sends--
		m := t.export(now, e)
		news.Local = append(news.Local, m)
		first := e == t.self || e.ownClaim
		if first || e.DataCentre == t.self.DataCentre || e.fromLocal && e.State >= Silent {
			news.Gateways = append(news.Gateways, m)
		}
		if first {
			news.Own = append(news.Own, m)
		}
	}
	return news
}
