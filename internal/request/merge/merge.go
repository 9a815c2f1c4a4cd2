// Package merge joins the hits of the shards of one request.
//
// # Usage
//
//	m := merge.New(10, false)
//	m.Add(reply.Hits, reply.More)
//	hits, more := m.Result()
//
// A ranked merge keeps the best limit hits by falling score, and by identifier
// where scores are equal, so the result does not depend on the order in which
// shards answer. Opaque parts of fixed-size records are joined by Greatest. A merge of all matches keeps the first limit by identifier.
package merge

import (
	"cmp"
	"slices"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// compactFactor is how far the buffer grows beyond the limit before it is cut.
const compactFactor = 8

// Merge collects hits.
type Merge struct {
	limit int
	all   bool
	more  bool
	hits  []wire.Hit
}

// New returns a merge that keeps limit hits.
func New(limit int, all bool) *Merge { return &Merge{limit: limit, all: all} }

// Add takes the hits of one shard. More tells that the shard has further
// matches beyond these.
func (m *Merge) Add(hits []wire.Hit, more bool) {
	m.more = m.more || more
	m.hits = append(m.hits, hits...)
	if len(m.hits) > compactFactor*m.limit {
		m.compact()
	}
}

// Result returns the hits in order, and whether matches were left out.
func (m *Merge) Result() (hits []wire.Hit, more bool) {
	m.compact()
	return m.hits, m.more
}

func (m *Merge) compact() {
	if m.all {
		slices.SortFunc(m.hits, byID)
	} else {
		slices.SortFunc(m.hits, byScore)
	}
	if len(m.hits) > m.limit {
		m.hits = m.hits[:m.limit]
		m.more = true
	}
}

func byID(a, b wire.Hit) int { return cmp.Compare(a.ID, b.ID) }

func byScore(a, b wire.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}
