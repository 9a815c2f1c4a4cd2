package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
)

const (
	// leaseTTL is how long the store keeps the record of a daemon that no longer
	// renews its lease, and renewInterval is the time between renewals.
	leaseTTL      = 12 * time.Second
	renewInterval = 4 * time.Second
	// registerTimeout is the timeout of one attempt to register or to renew the lease. A
	// call that began in an outage of the store may not be answered after it.
	registerTimeout = time.Second
	// minRegisterDelay is the least maximum delay between attempts to register. In a large
	// tier it is longer: all daemons together make at most maxWriteRate calls per second,
	// half of what the store grants.
	minRegisterDelay      = 500 * time.Millisecond
	writesPerRegistration = 2
	maxWriteRate          = 200
)

// registration is what this daemon has done to be known to the others.
type registration struct {
	lease Lease
	// recorded is true once the record is in the store, and membersRead once the records
	// of the others have been read after that.
	recorded, membersRead bool
}

// KeepRegistered keeps this daemon's record in the store, where new daemons find it as a
// seed, until ctx ends.
func (f *Feed) KeepRegistered(ctx context.Context) {
	var r registration
	err := f.register(ctx, &r)
	close(f.registering)
	retry := newBackoff()
	for {
		if err == nil {
			retry.Reset()
			if !f.awaitRenewal(ctx) {
				return
			}
			err = f.register(ctx, &r)
			continue
		}
		f.Meter.CountDecision("LeaseNotRenewed")
		retry.MaxInterval = maxRetryDelay
		if !r.recorded || !r.membersRead {
			f.Log.State("the store did not complete this daemon's registration", "recorded", r.recorded, "error", err)
			retry.MaxInterval = registerRetryDelay(f.Table.Live())
		}
		if !sleep.For(ctx, retry.NextBackOff()) {
			return
		}
		err = f.register(ctx, &r)
	}
}

// awaitRenewal waits until the lease is to be renewed, or was lost with the era in which it
// was granted. It returns false if ctx has ended.
func (f *Feed) awaitRenewal(ctx context.Context) bool {
	timer := time.NewTimer(renewInterval + rand.N(renewInterval/4))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-f.newEra:
		return sleep.For(ctx, rand.N(registerRetryDelay(f.Table.Live())))
	}
}

// Registering returns a channel that is closed once this daemon is registered or its first
// attempt has failed.
func (f *Feed) Registering() <-chan struct{} { return f.registering }

// register does what is left of a registration, or renews the lease. The daemon writes
// its own record before it reads those of the others, so that of two daemons that start
// at the same time at least one finds the other.
func (f *Feed) register(ctx context.Context, r *registration) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if r.lease.Era < f.Roster.Stamp().Era {
		*r = registration{}
	}
	if r.recorded {
		err := f.Source.Renew(ctx, r.lease)
		r.forgetLapsed(err)
		if err != nil || r.membersRead {
			return err
		}
	} else {
		self := f.Table.Self(time.Now())
		lease, err := f.Source.Register(ctx, r.lease, &self, leaseTTL)
		r.lease = lease
		r.forgetLapsed(err)
		if err != nil {
			return err
		}
		r.recorded = true
		f.Log.State("registered in the store", "lease", lease.ID, "era", lease.Era)
	}
	err := f.readMembers(ctx)
	r.membersRead = err == nil
	return err
}

// forgetLapsed makes the daemon register anew if the error says that the lease has ended.
func (r *registration) forgetLapsed(err error) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindLapsed {
		*r = registration{}
	}
}

// registerRetryDelay returns the maximum delay between attempts to register, of one of
// the given number of daemons.
func registerRetryDelay(daemons int) time.Duration {
	writes := daemons * writesPerRegistration
	return max(minRegisterDelay, time.Duration(writes)*time.Second/maxWriteRate)
}
