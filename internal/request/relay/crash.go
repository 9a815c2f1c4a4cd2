package relay

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/crash"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
)

const (
	// minSilence is how long a cancelled attempt must have waited to be blamed for the
	// end of its target: targets that work answer sooner.
	minSilence = 700 * time.Millisecond
	// shortestBase is the base in which numbers are shortest: losses travel in heartbeats.
	shortestBase = 36
	// crashCheckTime is how long a broken attempt waits to learn whether its target has
	// crashed, so that a request that crashes targets is not sent again before.
	crashCheckTime = 5 * time.Millisecond
)

// trackCrash collects evidence that a request crashes the targets that run it. Err is
// the error of the attempt, if any.
func (r *Runner) trackCrash(now time.Time, t *fleet.Target, sender Sender, a crash.Attempt, outcome fleet.Outcome, err error) {
	boot := t.BootID()
	switch outcome {
	case fleet.Broken, fleet.Crowded:
		r.recordUnanswered(now, t, a)
		r.checkTarget(now, t, sender)
	case fleet.Refused:
		r.crashes.Dropped(now, boot, a)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.TargetEnded(t)
		}
	case fleet.Gone:
		// Another process answers at the address.
		r.crashes.Dropped(now, boot, a)
		r.TargetEnded(t)
	case fleet.Expired, fleet.Cancelled:
		if now.Sub(a.Sent) < minSilence {
			r.crashes.Dropped(now, boot, a)
			return
		}
		r.recordUnanswered(now, t, a)
	case fleet.Success:
		r.crashes.Answered(now, boot, a)
		if r.Poison.Succeeded(now, poison.Query{Fingerprint: a.Fingerprint}) && r.OnSuspectedCrash != nil {
			r.OnSuspectedCrash()
		}
	case fleet.Failed, fleet.Shed:
		r.crashes.Answered(now, boot, a)
	default:
		r.crashes.Dropped(now, boot, a)
	}
}

// checkTarget finds out whether a target that broke a connection still listens. It
// returns once that is known, or after crashCheckTime.
func (r *Runner) checkTarget(now time.Time, t *fleet.Target, sender Sender) {
	if !r.crashes.BeginCheck(now, t.BootID()) {
		return
	}
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if err := sender.Probe(context.Background()); errors.Is(err, syscall.ECONNREFUSED) {
			r.TargetEnded(t)
		}
	}()
	timer := time.NewTimer(crashCheckTime)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	}
}

// TargetEnded records that the process of a target has ended.
func (r *Runner) TargetEnded(t *fleet.Target) {
	now := time.Now()
	blamed := r.crashes.Ended(now, t.BootID())
	if len(blamed) == 0 {
		return
	}
	r.Log.State("a target ended without answering", "target", t.ID, "address", t.Address, "requests", len(blamed))
	for _, b := range blamed {
		r.recordLoss(now, t, b)
	}
}

func (r *Runner) recordUnanswered(now time.Time, t *fleet.Target, a crash.Attempt) {
	if blamed, ended := r.crashes.Unanswered(now, t.BootID(), a); ended {
		r.recordLoss(now, t, blamed)
	}
}

// recordLoss records that a request may have crashed its target. Other daemons hear of it
// at once if it has happened before.
func (r *Runner) recordLoss(now time.Time, t *fleet.Target, blamed crash.Blamed) {
	query := poison.Query{Fingerprint: blamed.Fingerprint}
	quarantined := r.Poison.Lost(now, query, poison.Loss{
		Target: strconv.FormatUint(xxhash.Sum64String(t.BootID()), shortestBase), Domain: t.ID, Sent: blamed.Sent, Shared: blamed.Shared,
	})
	a := r.Poison.Assess(now, query)
	if !a.Repeated {
		return
	}
	r.Log.State("a request may have crashed its targets", "target", t.ID, "fingerprint", blamed.Fingerprint, "shared", blamed.Shared,
		"held", quarantined, "losses", a.Losses, "domains", a.Domains, "succeeded", a.Succeeded, "massFailure", a.MassFailure)
	if r.OnSuspectedCrash != nil {
		r.OnSuspectedCrash()
	}
}
