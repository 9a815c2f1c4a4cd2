// Package tenant holds the state of one service of one deployment on one daemon:
// its targets, its admission queue, its budgets and its runner.
//
// # Usage
//
//	t := tenant.New(tenant.Config{Deployment: "Erbacee", Service: "LabelDesk", ...})
//	answer, refusal := t.Search(ctx, arrived, &request, epoch)
//
// Exactly one of the two results is set.
package tenant

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/target"
	"github.com/magnoliarelay/magnoliarelay/internal/process/alloc"
	"github.com/magnoliarelay/magnoliarelay/internal/process/budget"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/quota"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/request/admit"
	"github.com/magnoliarelay/magnoliarelay/internal/request/check"
	"github.com/magnoliarelay/magnoliarelay/internal/request/search"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// maxLimiters is the maximum number of callers whose rate is tracked.
	maxLimiters = 4096
	// unlimitedCapacity is the capacity of the queue if the settings do not limit
	// concurrency.
	unlimitedCapacity = 1 << 20
	// extraAttemptWindow is the time over which extra attempts of opaque requests are
	// counted. extraAttemptAllowance is the number of them that is allowed in it beyond
	// the ratio, so that a service with few requests can send any.
	extraAttemptWindow    = 10 * time.Second
	extraAttemptAllowance = 20
)

// Config configures a tenant.
type Config struct {
	// Daemon is the daemon's name, which is unique to its incarnation.
	Daemon     string
	Deployment string
	Service    string
	Seed       uint64
	Meter      *meter.Meter
	Poison     *poison.Register
	Quota      *quota.Quota
	// OnTargetLost is called when a target was lost while it ran a query.
	OnTargetLost func()
}

// Tenant is the state of one service on one daemon.
type Tenant struct {
	config Config
	Fleet  *fleet.Fleet
	Queue  *admit.Queue
	Pool   *target.Pool
	// RetryBudget is the retry budget for extra attempts of opaque requests.
	RetryBudget *retry.Budget
	runner      *search.Runner
	limiters    *lru.Cache[string, *rate.Limiter]
	serial      atomic.Uint64
	daemons     atomic.Int64
}

// New returns a tenant without targets.
func New(config Config) *Tenant {
	limiters, err := lru.New[string, *rate.Limiter](maxLimiters)
	if err != nil {
		panic(err)
	}
	t := &Tenant{
		config:   config,
		Fleet:    fleet.New(fleet.Config{Daemon: config.Daemon, Deployment: config.Deployment, Service: config.Service, Seed: config.Seed}),
		Queue:    admit.New(),
		Pool:     target.NewPool(),
		limiters: limiters,
	}
	t.RetryBudget = retry.New(retryTerms(tree.Default()))
	t.daemons.Store(1)
	t.runner = &search.Runner{
		Deployment: config.Deployment, Service: config.Service,
		Fleet: t.Fleet, Pool: t.Pool, HedgeBudget: budget.New(), RetryBudget: budget.New(),
		Poison: config.Poison, Meter: config.Meter, OnTargetLost: config.OnTargetLost,
	}
	return t
}

// Update applies the settings, the number of live daemons, and the capacity that
// follows from both.
func (t *Tenant) Update(now time.Time, settings *tree.Settings, daemons int) {
	t.daemons.Store(int64(max(daemons, 1)))
	t.Fleet.Configure(settings)
	t.Fleet.SetDaemons(daemons)
	t.RetryBudget.SetAllowanceFraction(alloc.UsableFraction / float64(max(daemons, 1)))
	t.RetryBudget.SetTerms(retryTerms(settings))
	capacity := unlimitedCapacity
	if settings.LimitConcurrency {
		capacity = t.Fleet.Capacity(now)
	}
	t.Queue.SetCapacity(now, capacity)
}

// retryTerms returns the terms of the retry budget of all daemons together for
// opaque requests. Hedges and retries share it.
func retryTerms(settings *tree.Settings) retry.Terms {
	return retry.Terms{Ratio: settings.ExtraLoad + settings.RetryBudget, Allowance: extraAttemptAllowance, Window: extraAttemptWindow}
}

// Usage is the number of attempts in the last second, by the budget that they
// count against.
type Usage struct {
	Primaries int
	Hedges    int
	Retries   int
}

// Usage returns the number of attempts in the last second.
func (t *Tenant) Usage(now time.Time) Usage {
	primaries, hedges := t.runner.HedgeBudget.Usage(now)
	_, retries := t.runner.RetryBudget.Usage(now)
	return Usage{Primaries: primaries, Hedges: hedges, Retries: retries}
}

// Search admits and runs one request.
func (t *Tenant) Search(ctx context.Context, arrived time.Time, request *wire.SearchRequest, e *epoch.Epoch) (*wire.SearchAnswer, *wire.Refusal) {
	settings := e.Tree.Resolve(t.config.Deployment, t.config.Service, request.Caller)
	answer, refusal := t.admitAndRun(ctx, arrived, request, settings)
	t.measure(settings, time.Since(arrived), answer, refusal)
	if answer != nil {
		answer.RequestID = request.RequestID
		answer.SettingsRevision = e.Change.Revision
		answer.Daemon = t.config.Daemon
		answer.LatencyMillis = float64(time.Since(arrived).Microseconds()) / 1000
	}
	return answer, refusal
}

func (t *Tenant) admitAndRun(ctx context.Context, arrived time.Time, request *wire.SearchRequest, settings *tree.Settings) (*wire.SearchAnswer, *wire.Refusal) {
	deadline := arrived.Add(min(check.Deadline(request.Deadline), settings.MaxDeadline))
	if refusal := t.limitRate(arrived, request.Caller, settings); refusal != nil {
		return nil, refusal
	}
	priority := settings.PriorityAt(arrived)
	leave, refusal := t.Admit(ctx, arrived, request.Caller, priority, deadline, settings)
	if refusal != nil {
		return nil, refusal
	}
	defer leave()
	return t.runner.Run(ctx, &search.Request{
		ID: t.NextID(), Query: request.Query, Limit: request.Limit, All: request.All, Cursor: request.Cursor,
		MinCoverage: minCoverage(request, settings), Priority: priority, Deadline: deadline, Settings: settings,
	})
}

// minCoverage returns the coverage that the request demands: that of the settings,
// or a higher one that the caller asks for. A request for all matches demands an
// answer from every shard.
func minCoverage(request *wire.SearchRequest, settings *tree.Settings) float64 {
	if request.All {
		return 1
	}
	if request.LeastCoverage == nil {
		return settings.LeastCoverage
	}
	return max(*request.LeastCoverage, settings.LeastCoverage)
}

// NextID returns an identifier that is unique over all daemons.
func (t *Tenant) NextID() string {
	return t.config.Daemon + "." + strconv.FormatUint(t.serial.Add(1), 36)
}

// limitRate applies this daemon's share of the caller's rate limit.
func (t *Tenant) limitRate(now time.Time, caller string, settings *tree.Settings) *wire.Refusal {
	if settings.Rate == 0 {
		return nil
	}
	key := t.config.Deployment + "/" + t.config.Service + "/" + caller
	t.config.Quota.Observe(now, key)
	limit := rate.Limit(t.config.Quota.Share(now, key, settings.Rate, int(t.daemons.Load())))
	limiter, ok := t.limiters.Get(caller)
	if !ok {
		limiter = rate.NewLimiter(limit, burst(limit))
		t.limiters.Add(caller, limiter)
	}
	if limiter.Limit() != limit {
		limiter.SetLimitAt(now, limit)
		limiter.SetBurstAt(now, burst(limit))
	}
	if limiter.AllowN(now, 1) {
		return nil
	}
	t.config.Meter.CountDecision("RefuseRate")
	return &wire.Refusal{
		Kind: wire.RefusalOverloaded, Message: "the caller is above its Rate", Ran: wire.RanNo,
		RetryAfterMillis: int64(1000/float64(limit)) + 1,
	}
}

// burst allows the requests of one second, and at least one, so that a share below
// one request per second works.
func burst(limit rate.Limit) int { return max(1, int(limit)) }

// Admit waits for admission. On success the caller must call the returned function
// when the request has ended.
func (t *Tenant) Admit(ctx context.Context, arrived time.Time, caller string, priority int, deadline time.Time, settings *tree.Settings) (func(), *wire.Refusal) {
	decided := make(chan admit.Decision, 1)
	ticket := &admit.Ticket{
		Class: settings.Class, Priority: priority, Caller: caller, Deadline: deadline, QueueLength: settings.QueueLength,
		Decide: func(d admit.Decision) { decided <- d },
	}
	t.Queue.Arrive(arrived, ticket)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	decision := admit.Decision{Verdict: admit.TooLate}
	select {
	case decision = <-decided:
	case <-timer.C:
		t.Queue.Leave(time.Now(), ticket)
	case <-ctx.Done():
		t.Queue.Leave(time.Now(), ticket)
		if errors.Is(context.Cause(ctx), drain.ErrStopping) {
			return nil, &wire.Refusal{Kind: wire.RefusalNotReady, Message: "the daemon is stopping; use another one", Ran: wire.RanNo}
		}
		return nil, &wire.Refusal{Kind: wire.RefusalCancelled, Message: "the caller went away", Ran: wire.RanNo}
	}
	wait := time.Since(arrived)
	t.config.Meter.QueueWait.WithLabelValues(t.config.Deployment, t.config.Service, settings.Class).Observe(wait.Seconds())
	if decision.Verdict == admit.Admitted {
		return func() { t.Queue.Leave(time.Now(), ticket) }, nil
	}
	return nil, t.refusalFor(decision)
}

func (t *Tenant) refusalFor(d admit.Decision) *wire.Refusal {
	refusal := &wire.Refusal{Ran: wire.RanNo, RetryAfterMillis: max(d.RetryAfter.Milliseconds(), 1)}
	if d.Verdict == admit.Full {
		refusal.Kind = wire.RefusalOverloaded
		refusal.Message = "the queue of the class is full"
		t.config.Meter.CountDecision("RefuseFull")
		return refusal
	}
	refusal.Kind = wire.RefusalTooLate
	refusal.Message = "the deadline can not be met"
	t.config.Meter.CountDecision("RefuseTooLate")
	return refusal
}

func (t *Tenant) measure(settings *tree.Settings, took time.Duration, answer *wire.SearchAnswer, refusal *wire.Refusal) {
	m := t.config.Meter
	deployment, service, class := t.config.Deployment, t.config.Service, settings.Class
	m.Latency.WithLabelValues(deployment, service, class).Observe(took.Seconds())
	if refusal != nil {
		m.Answers.WithLabelValues(string(refusal.Kind), deployment, service, class).Inc()
		if refusal.Coverage != nil {
			m.Coverage.WithLabelValues(deployment, service, class).Observe(refusal.Coverage.Share)
		}
		return
	}
	result := "Complete"
	if !answer.Complete {
		result = "Partial"
	}
	if answer.Complete != (answer.Coverage.ShardsAnswered == answer.Coverage.Shards) {
		m.CountViolation("CompleteWithoutCoverage")
	}
	m.Answers.WithLabelValues(result, deployment, service, class).Inc()
	m.Coverage.WithLabelValues(deployment, service, class).Observe(answer.Coverage.Share)
	m.Attempts.WithLabelValues(deployment, service, class).Observe(float64(answer.Attempts))
}
