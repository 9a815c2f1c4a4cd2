package relay

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
)

// Far gathers shards through daemons of other regions.
type Far interface{}

type farEnd struct{}

type farCall struct{}

func (x *exchange) planFar(*gather.Config) {}

func (x *exchange) callFar() {}

func (x *exchange) endFar(now time.Time, _ *farEnd) *gather.Step { return x.gather.Tick(now) }

func (x *exchange) endFars() {}
